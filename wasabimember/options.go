// Package wasabimember keeps the leases of announced instances at one control
// instance, merges what other control instances announce, and tells changes as
// versioned deltas for each service. It decides which instances are listed; it
// does no I/O and does not choose instances for calls.
package wasabimember

import (
	"time"

	"github.com/zeebo/errs"
)

// Classes of refused announcements and renewals.
var (
	// ErrDuplicate means that another process holds the instance's name.
	ErrDuplicate = errs.Class("duplicate instance")
	// ErrStale means that a newer announcement of the instance is known.
	ErrStale = errs.Class("stale announcement")
	// ErrUnknown means that the instance must announce itself first.
	ErrUnknown = errs.Class("unknown instance")
	// ErrFull means that a bound on instances or services is reached.
	ErrFull = errs.Class("registry full")
)

// maxSources bounds the control instances whose lists are kept, ended ones
// included. An installation has at most 7.
const maxSources = 64

// Options are the settings of a registry: an immutable value.
type Options struct {
	source       string
	epoch        uint64
	lease        time.Duration
	hold         time.Duration
	massPercent  int
	massCount    int
	maxInstances int
	maxServices  int
	maxChanges   int
}

// NewOptions returns the default settings of a control instance. The epoch
// must differ from that of earlier processes of this control instance; use its
// start time in nanoseconds.
func NewOptions(source string, epoch uint64) Options {
	return Options{
		source: source,
		epoch:  epoch,
		lease:  3 * time.Second,
		// A control instance or link that fails takes many leases with it
		// while the instances are alive; they announce themselves elsewhere
		// well within this time.
		hold:        time.Minute,
		massPercent: 20,
		massCount:   3,
		// Four times the design's 2,300 instances and six times its 170
		// services leave room and bound memory.
		maxInstances: 10_000,
		maxServices:  1024,
		maxChanges:   256,
	}
}

// WithLease returns a copy with another lease time.
func (o Options) WithLease(d time.Duration) Options {
	o.lease = d
	return o
}

// WithMassExpiry returns a copy that keeps the instances of a service as
// suspect for hold when more than percent of them, and at least count, run out
// within one lease time.
func (o Options) WithMassExpiry(percent, count int, hold time.Duration) Options {
	o.massPercent, o.massCount, o.hold = percent, count, hold
	return o
}

// WithBounds returns a copy that bounds instances, services and the change log
// of each service.
func (o Options) WithBounds(instances, services, changes int) Options {
	o.maxInstances, o.maxServices, o.maxChanges = instances, services, max(changes, 1)
	return o
}

// late is the age of a lease at which others are told that it may run out.
func (o Options) late() time.Duration { return o.lease * 2 / 3 }

// memory is how long an instance that is no longer listed is remembered. It is
// longer than a cut off control instance can keep an older announcement of it
// listed.
func (o Options) memory() time.Duration { return o.hold + 2*o.lease }
