package wasabistand

import "time"

// Configuration is a validated, immutable configuration. The package
// wasabiconfig builds and validates it.
type Configuration struct {
	// Services maps names to services.
	Services map[string]Service
	// Callers maps names to callers; unknown callers use the entry "Default".
	Callers map[string]Caller
	Retry   RetryPolicy
	Regions []RegionLink
	// Hosts holds the routes for requests that are identified by host and path
	// only.
	Hosts []Host
	// Upstreams maps service names to the upstream policies for the services
	// that routes lead to.
	Upstreams map[string]UpstreamPolicy
	Clients   ClientLimits
	// Annotation is text that is stored with the configuration and not
	// interpreted.
	Annotation string
}

// DefaultCaller is the name of the entry for callers that are not listed.
const DefaultCaller = "Default"

// Service is the configuration of one service.
type Service struct {
	Name  string
	Calls []CallPolicy
	// QueueLimit is the maximum number of calls that wait for one upstream.
	QueueLimit int
	// PreemptLowerImportance allows cancelling running idempotent calls in
	// favour of calls of higher importance.
	PreemptLowerImportance bool
}

// CallPolicy is the policy for one call of a service.
type CallPolicy struct {
	Name string
	// Method is an HTTP method, or empty for any.
	Method string
	// Path is a pattern of segments, where "{name}" matches one segment and a
	// final "{name...}" matches the rest.
	Path       string
	Importance Importance
	// Idempotent reports whether the call may be retried when its outcome is
	// unknown.
	Idempotent bool
	// Timeout is the maximum timeout of this call, 0 for the caller's.
	Timeout time.Duration
	// MaxBodyBytes is the maximum size of the request body, 0 for no limit.
	MaxBodyBytes int64
}

// Caller is the policy for one caller.
type Caller struct {
	Name string
	// MaxTimeout is the longest timeout of the caller's calls.
	MaxTimeout time.Duration
	// HomeRegion is the region whose control group stores the caller's claims.
	HomeRegion string
	// CallsPerSecond is the maximum rate of the caller's calls at one node,
	// retries included; 0 for no limit.
	CallsPerSecond float64
	// Burst is the number of calls that may arrive at once, for
	// CallsPerSecond.
	Burst int
}

// RetryPolicy is the policy for retries.
type RetryPolicy struct {
	// PerRequest is the request retry budget of one call tree.
	PerRequest int
	// SharePercent is the retry budget of one instance in percent of its first
	// attempts.
	SharePercent float64
	// MinPerSecond is the rate of retries that is allowed even at low call
	// rates.
	MinPerSecond float64
}

// RegionLink is the configuration of the link between two regions.
type RegionLink struct {
	A, B string
	// RoundTrip is the round-trip time of the link.
	RoundTrip time.Duration
	// BytesPerSecond is the bandwidth that the system may use in each
	// direction.
	BytesPerSecond float64
}

// View is a node's immutable snapshot of the state received from control.
type View struct {
	// Revision is the revision of the applied configuration.
	Revision      uint64
	Configuration *Configuration
	// Instances maps the services that this node calls to their instances.
	Instances map[string][]Instance
	// Drained reports whether an operator drains this node's own instance.
	Drained bool
	// ClaimAddresses maps regions to claim addresses, with the key "" for other
	// regions.
	ClaimAddresses map[string][]string
	// Source is the address of the control instance that sent the revision, for the log.
	Source string
}
