package wasabistand

import "time"

// InstanceState is the state that an instance reports.
type InstanceState uint8

// The states.
const (
	Cold InstanceState = iota + 1
	Ready
	Leaving
)

// String returns the state's name.
func (s InstanceState) String() string {
	switch s {
	case Cold:
		return "Cold"
	case Ready:
		return "Ready"
	case Leaving:
		return "Leaving"
	default:
		return "Unset"
	}
}

// Location is the region and failure domain of an instance.
type Location struct {
	Region        string
	FailureDomain string
}

// Instance describes an upstream instance and its node.
type Instance struct {
	ID          string
	Incarnation uint64
	Sequence    uint64
	Service     string
	// LinkAddress is the address for connections from other nodes, as IP and
	// port.
	LinkAddress  string
	AdminAddress string
	Location     Location
	// Slots is the number of calls that the upstream runs concurrently.
	Slots int
	// Connections is the number of connections that the upstream accepts.
	Connections int
	State       InstanceState
	Drained     bool
	Suspect     bool
	// AppliedRevision is the revision of the configuration applied on the
	// node.
	AppliedRevision uint64
}

// WithState returns a copy with state s.
func (i Instance) WithState(s InstanceState) Instance {
	i.State = s
	return i
}

// WithIncarnation returns a copy with incarnation n.
func (i Instance) WithIncarnation(n uint64) Instance {
	i.Incarnation = n
	return i
}

// WithSequence returns a copy with announcement sequence number n.
func (i Instance) WithSequence(n uint64) Instance {
	i.Sequence = n
	return i
}

// AcceptsCalls reports whether new calls may be sent to the instance.
func (i Instance) AcceptsCalls() bool {
	return i.State != Leaving && !i.Drained
}

// Query describes a call for which a Router chooses an instance.
type Query struct {
	Service    string
	Importance Importance
	// From is the location that the call is sent from.
	From Location
	// Remaining is the remaining time until the caller's deadline.
	Remaining time.Duration
	// Bytes is the expected size of request and response, 0 if unknown.
	Bytes int64
	// Exclude lists the instances already tried.
	Exclude []string
	// Avoid is a failure domain to avoid if others are available, empty for
	// none.
	Avoid string
}

// Result is the result of a routed call.
type Result struct {
	Outcome Outcome
	// Failed reports whether the instance is at fault: connection refused,
	// response truncated or late. A refusal for load is not a fault.
	Failed  bool
	Latency time.Duration
	// Bytes is the size of request and response.
	Bytes int64
	// Load is the load that the response reported for the instance, nil if
	// none.
	Load *Load
}
