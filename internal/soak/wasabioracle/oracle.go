// Package wasabioracle decides from what operators, callers and upstreams saw whether
// the promises on configurations held. It has no clock and does no I/O: events carry
// their times, as durations since the start of the run. It doesn't decide which events
// occur.
package wasabioracle

import (
	"fmt"
	"time"
)

// Settings are the bounds of the promises.
type Settings struct {
	// Apply is the time after a confirmation from which only the confirmed version or
	// a later one may be in force.
	Apply time.Duration
	// Contact is the time without a fault after which a machine is in touch.
	Contact time.Duration
	// Stretch is added to Apply while the control instances are disturbed but more
	// than half of them run.
	Stretch time.Duration
	// Downgrade is the time after the effect of a version from which a node may not
	// go back to an older one.
	Downgrade time.Duration
	// Acknowledge is the time in which a change is answered while control is calm.
	Acknowledge time.Duration
	// Controls is the number of control instances.
	Controls int
}

// Change is one version of the configuration as an operator sent it.
type Change struct {
	ID      string // unique in a run
	Version uint64
	Base    uint64
	// Routes maps each path prefix to its service.
	Routes map[string]string
	// Marker is the prefix of a route that this change adds. No change adds it again.
	Marker string
	// Invalid tells why the change must be refused. It is empty for a valid one.
	Invalid string
}

// Outcome is how a call of an operator or a caller ended.
type Outcome int

// Outcomes.
const (
	Unclear  Outcome = iota // no response, or one that promises nothing
	Accepted                // acknowledged, or answered by an instance of a service
	Conflict                // refused because another version is current
	Refused                 // refused as invalid, or as not run
	NotFound                // no route
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"unclear", "accepted", "conflict", "refused", "not found"}[o]
}

// Answer is what a caller saw of one request at a node.
type Answer struct {
	Node           string
	ID             string // of the request, unique in a run
	Prefix         string // of the route that the request was for
	Sent, Received time.Duration
	Outcome        Outcome
	Service        string // that ran the request, when accepted
	EchoedID       string // the id in the response, when accepted
}

// Violation is one broken promise.
type Violation struct {
	Rule    string
	Machine string
	At      time.Duration
	// SinceConfirmed is the time from the confirmation of the expected version, and
	// SinceFault that from the last fault of the machine or of control.
	SinceConfirmed, SinceFault time.Duration
	Expected, Seen             uint64 // versions; the seen one is the newest that allows it
	Detail                     string
}

// String returns the violation on one line.
func (v Violation) String() string {
	return fmt.Sprintf("%-18s %-10s at %7.3f s: %.3f s after confirmation, %.3f s after the last fault, expected %d, saw %d: %s",
		v.Rule, v.Machine, v.At.Seconds(), v.SinceConfirmed.Seconds(), v.SinceFault.Seconds(), v.Expected, v.Seen, v.Detail)
}

// Names of the rules.
const (
	RuleStale      = "stale"       // older than confirmed, at a machine in touch
	RuleStretched  = "stale-outer" // the same, beyond the stretched bound, control disturbed
	RuleRegress    = "regress"     // older than what the node has already shown
	RuleRead       = "read"        // a read is older than confirmed
	RuleInForce    = "in-force"    // a refused or invalid change is in force
	RuleInvalid    = "invalid"     // an invalid change was acknowledged
	RuleBothTaken  = "both-taken"  // two changes on one base were acknowledged
	RuleResend     = "resend"      // an acknowledged change was refused when sent again
	RuleLost       = "lost"        // the final read differs from what was acknowledged
	RuleNoVersion  = "no-version"  // handled as no version allows
	RuleNotServed  = "not-served"  // added routes are served much less often
	RuleMixed      = "mixed"       // the answer belongs to another request
	RuleTwice      = "twice"       // a request that may run once ran again
	RuleRefusedRan = "refused-ran" // a request that was refused as not run has run
)

// Counts are figures that break no rule by themselves.
type Counts struct {
	Requests, Served, Refused, NotFound, Unclear int
	// InTouch counts the requests that machines in touch answered.
	InTouch int
	// RefusedInTouch counts refusals by machines in touch.
	RefusedInTouch int
	// LateOutOfTouch counts answers that only an older version allows, by machines
	// that were not in touch. LastingOutOfTouch are those of them that came later
	// than the contact window and the apply time after the machine's last fault.
	LateOutOfTouch, LastingOutOfTouch int
	// SlowChanges counts changes that took longer than the acknowledge time while
	// control was calm.
	SlowChanges                      int
	ChangesSent, ChangesAcknowledged int
	Stalls                           int
}

type state struct {
	Change
	accepted, refused bool
	confirmedAt       time.Duration
	seenAt            time.Duration // when its marker was first served or read
	seenBy            string
}

type node struct {
	faultAt time.Duration
	down    bool
	floor   []floor // versions whose effect was seen in this lifetime
}

type floor struct {
	at      time.Duration
	version uint64
}

type runs struct {
	count   int
	once    bool
	refused bool
	node    string
}

// Oracle judges the events of one run. It must not be called concurrently.
type Oracle struct {
	settings Settings
	changes  []*state
	byID     map[string]*state
	newest   []*state // accepted, in the order of their confirmations
	nodes    map[string]*node
	// controlFaultAt is the time of the last fault of a control instance, or the last
	// time at which the run itself was held up.
	controlFaultAt time.Duration
	minorityAt     time.Duration // the last time at which half of control or fewer ran
	down           map[string]bool
	harmed         map[string]bool // control instances whose links are harmed
	runs           map[string]*runs
	added, first   struct{ asked, served int }
	counts         Counts
}

// never is a time long before the run.
const never = -time.Hour

// New returns an oracle that has seen nothing.
func New(s Settings) *Oracle {
	return &Oracle{settings: s, byID: map[string]*state{}, nodes: map[string]*node{}, down: map[string]bool{}, harmed: map[string]bool{},
		runs: map[string]*runs{}, controlFaultAt: never, minorityAt: never}
}

// Counts returns the figures so far.
func (o *Oracle) Counts() Counts { return o.counts }

// String names the oracle.
func (o *Oracle) String() string { return "configuration oracle" }

// NodeFault records that a node was killed, started, signalled to stop, frozen or
// thawed. A lifetime ends when the node is started again.
func (o *Oracle) NodeFault(name string, at time.Duration, running, newLifetime bool) {
	n := o.node(name)
	n.faultAt, n.down = at, !running
	if newLifetime {
		n.floor = nil
	}
}

// ControlFault records that a control instance was killed, started, signalled to
// stop, frozen or thawed.
func (o *Oracle) ControlFault(name string, at time.Duration, running bool) {
	if o.minority() {
		o.minorityAt = at
	}
	o.controlFaultAt = at
	o.down[name] = !running
	if o.minority() {
		o.minorityAt = at
	}
}

// LinkFault records that links of a control instance are harmed from now on, or no
// longer. No machine is in touch meanwhile.
func (o *Oracle) LinkFault(name string, at time.Duration, harmed bool) {
	if harmed {
		o.harmed[name] = true
	} else {
		delete(o.harmed, name)
	}
	o.ControlFault(name, at, !harmed)
}

// Stall records that the run itself was held up, so that no bound can be judged
// fairly around it.
func (o *Oracle) Stall(at time.Duration) {
	o.counts.Stalls++
	o.controlFaultAt = at
	o.minorityAt = at
}

func (o *Oracle) node(name string) *node {
	n := o.nodes[name]
	if n == nil {
		n = &node{faultAt: never}
		o.nodes[name] = n
	}
	return n
}

// minority reports whether half of the control instances or fewer run.
func (o *Oracle) minority() bool {
	running := o.settings.Controls
	for _, d := range o.down {
		if d {
			running--
		}
	}
	return 2*running <= o.settings.Controls
}

// calm reports whether control was undisturbed for the whole contact window.
func (o *Oracle) calm(at time.Duration) bool {
	return !o.minority() && len(o.harmed) == 0 && at-o.controlFaultAt > o.settings.Contact && at-o.minorityAt > 2*o.settings.Contact
}

// ran reports whether the node ran for the whole contact window.
func (o *Oracle) ran(n *node, at time.Duration) bool {
	return !n.down && at-n.faultAt > o.settings.Contact
}

// Sent records that a change was sent. It precedes the sending.
func (o *Oracle) Sent(c Change) {
	if o.byID[c.ID] != nil {
		return
	}
	s := &state{Change: c, seenAt: never}
	o.byID[c.ID] = s
	o.changes = append(o.changes, s)
	o.counts.ChangesSent++
}

// Replied records the response to a change that was sent at the given time. A change
// may be sent again until it has a clear response.
func (o *Oracle) Replied(id string, outcome Outcome, machine string, sent, received time.Duration) (list []Violation) {
	s := o.byID[id]
	broken := func(rule, format string, a ...any) {
		list = append(list, Violation{Rule: rule, Machine: machine, At: received, SinceFault: received - o.controlFaultAt,
			SinceConfirmed: received - s.confirmedAt, Expected: s.Version, Detail: id + " " + fmt.Sprintf(format, a...)})
	}
	switch outcome {
	case Accepted:
		if s.Invalid != "" {
			broken(RuleInvalid, "is invalid (%s) and was acknowledged", s.Invalid)
		}
		if s.refused {
			broken(RuleInForce, "was refused and then acknowledged")
		}
		if s.accepted {
			return list
		}
		for _, other := range o.newest {
			if other.Base == s.Base && other.Invalid == "" && s.Invalid == "" {
				broken(RuleBothTaken, "and %s on base %d were both acknowledged", other.ID, s.Base)
			}
		}
		s.accepted, s.confirmedAt = true, received
		if s.Invalid == "" {
			o.newest = append(o.newest, s)
			o.counts.ChangesAcknowledged++
		}
	case Conflict, Refused:
		switch {
		case s.accepted && o.last() == s && o.alone(s):
			broken(RuleResend, "was acknowledged, no other change was made since, and is now refused: %v", outcome)
		case !s.accepted:
			s.refused = true
			if s.seenAt != never {
				broken(RuleInForce, "was refused and has been in force at %s at %.3f s", s.seenBy, s.seenAt.Seconds())
			}
		}
	}
	return list
}

// alone reports whether no other change on top of s has been sent that could be in
// force.
func (o *Oracle) alone(s *state) bool {
	for _, c := range o.changes {
		if c != s && c.Base >= s.Version && !c.refused && c.Invalid == "" {
			return false
		}
	}
	return true
}

// Slow records that a change had no clear response within the acknowledge time. It
// counts if control was calm all the while.
func (o *Oracle) Slow(since, at time.Duration) {
	if o.calm(at) && o.controlFaultAt < since-o.settings.Contact {
		o.counts.SlowChanges++
	}
}

func (o *Oracle) last() *state {
	if len(o.newest) == 0 {
		return nil
	}
	return o.newest[len(o.newest)-1]
}

// confirmedBy returns the newest change whose confirmation came before the time, or
// nil.
func (o *Oracle) confirmedBy(at time.Duration) *state {
	var newest *state
	for i := len(o.newest) - 1; i >= 0; i-- {
		if s := o.newest[i]; s.confirmedAt < at && (newest == nil || s.Version > newest.Version) {
			newest = s
		}
	}
	return newest
}
