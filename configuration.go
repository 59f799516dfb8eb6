package wasabistand

import "time"

// Contracts is a checked configuration: an immutable value. The package
// wasabiconfig builds and validates it.
type Contracts struct {
	// Services by name.
	Services map[string]Service
	// Callers by name; the entry "Default" serves unknown callers.
	Callers map[string]Caller
	Retry   RetryContract
	Regions []RegionLink
	// Hosts hold the routes, for callers that name host and path only.
	Hosts []Host
	// Upstreams by service, for the services of routes.
	Upstreams map[string]UpstreamContract
	Clients   ClientLimits
	// Annotation is text that is kept with the document and not interpreted.
	Annotation string
}

// DefaultCaller is the name of the contract for callers that are not listed.
const DefaultCaller = "Default"

// Service is what operators declare of one service.
type Service struct {
	Name  string
	Calls []CallContract
	// QueueLimit bounds the calls that wait in front of one upstream.
	QueueLimit int
	// PreemptLesser allows cancelling running idempotent calls for more
	// important ones.
	PreemptLesser bool
}

// CallContract is what operators declare of one call of a service.
type CallContract struct {
	Name string
	// Method is an HTTP method, or empty for any.
	Method string
	// Path is a pattern: segments, "{name}" for one segment and a last
	// "{name...}" for the rest.
	Path       string
	Importance Importance
	// Idempotent says that the call may be sent again when its outcome is
	// unknown.
	Idempotent bool
	// Timeout bounds the patience for this call, 0 for the caller's.
	Timeout time.Duration
	// MaxBodyBytes bounds the request body, 0 for no bound.
	MaxBodyBytes int64
}

// Caller is what operators declare of one caller.
type Caller struct {
	Name string
	// Patience is the longest time that this caller waits.
	Patience time.Duration
	// Home is the region whose group holds the caller's claims.
	Home string
	// CallsPerSecond bounds the caller's calls at one node, resends included;
	// 0 for no bound.
	CallsPerSecond float64
	// Burst is how many calls may come at once, for CallsPerSecond.
	Burst int
}

// RetryContract bounds retries.
type RetryContract struct {
	// PerRequest is the retry allowance of one call tree.
	PerRequest int
	// SharePercent is the retry budget of one instance in percent of its
	// first attempts.
	SharePercent float64
	// MinPerSecond is allowed at low rates too.
	MinPerSecond float64
}

// RegionLink is what operators declare of the link between two regions.
type RegionLink struct {
	A, B string
	// RoundTrip is the time there and back.
	RoundTrip time.Duration
	// BytesPerSecond is what the system may use each way.
	BytesPerSecond float64
}

// View is a node's immutable snapshot of what control told it.
type View struct {
	// Revision is the configuration in force.
	Revision  uint64
	Contracts *Contracts
	// Instances by service, for the services that this node calls.
	Instances map[string][]Instance
	// Drained says that an operator drains this node's own instance.
	Drained bool
	// ClaimHomes lists claim addresses by region, "" for other regions.
	ClaimHomes map[string][]string
}
