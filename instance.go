package wasabistand

import "time"

// InstanceState is what an instance says of itself.
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

// Location is where an instance runs.
type Location struct {
	Region        string
	FailureDomain string
}

// Instance is an upstream instance with its node.
type Instance struct {
	ID          string
	Incarnation uint64
	Sequence    uint64
	Service     string
	// LinkAddress is where other nodes reach the node, as IP and port.
	LinkAddress  string
	AdminAddress string
	Location     Location
	// Slots is how many calls the upstream runs at once.
	Slots int
	// Connections is how many connections the upstream accepts.
	Connections int
	State       InstanceState
	Drained     bool
	Suspect     bool
	// RevisionInForce is the configuration in force on the node.
	RevisionInForce uint64
}

// WithState returns a copy in another state.
func (i Instance) WithState(s InstanceState) Instance {
	i.State = s
	return i
}

// WithSequence returns a copy with another announcement sequence.
func (i Instance) WithSequence(n uint64) Instance {
	i.Sequence = n
	return i
}

// TakesWork reports whether new calls may be sent to the instance.
func (i Instance) TakesWork() bool {
	return i.State != Leaving && !i.Drained
}

// Query is what a router needs to choose an instance.
type Query struct {
	Service    string
	Importance Importance
	// From is where the call is.
	From Location
	// Remaining is what is left of the caller's patience.
	Remaining time.Duration
	// Bytes is the expected size of request and answer, 0 when unknown.
	Bytes int64
	// Exclude lists instances already tried.
	Exclude []string
	// Avoid is a failure domain to prefer others over, empty for none.
	Avoid string
}

// Result is how a routed call ended.
type Result struct {
	Outcome Outcome
	// Failed says that the instance is at fault: refused connection, cut or
	// late answer. A refusal for load is no fault.
	Failed  bool
	Latency time.Duration
	// Bytes is the size of request and answer.
	Bytes int64
	// Load is what the answer told of the instance, nil for nothing.
	Load *Load
}
