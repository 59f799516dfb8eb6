// Package wasabimember keeps the leases of announced instances at one control
// instance, merges the lists of other control instances, and returns changes as
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
	// ErrStale means that the instance has a newer announcement.
	ErrStale = errs.Class("stale announcement")
	// ErrUnknown means that the instance must announce itself first.
	ErrUnknown = errs.Class("unknown instance")
	// ErrFull means that a limit on instances, services or sources is reached.
	ErrFull = errs.Class("registry full")
)

// maxSources limits how many lists of control instance processes are kept,
// including those of ended processes. A cluster has at most 7 control instances.
const maxSources = 64

// Options are the immutable settings of a Registry.
type Options struct {
	source         string
	epoch          uint64
	lease          time.Duration
	suspectTimeout time.Duration
	massPercent    int
	massCount      int
	maxInstances   int
	maxServices    int
	maxChanges     int
}

// NewOptions returns the default settings of a control instance. The epoch
// must differ from that of earlier processes of this control instance; use its
// start time in nanoseconds.
func NewOptions(source string, epoch uint64) Options {
	return Options{
		source: source,
		epoch:  epoch,
		lease:  3 * time.Second,
		// When a control instance or link fails, many leases expire although
		// the instances are alive. They announce themselves to another control
		// instance well within this time.
		suspectTimeout: time.Minute,
		massPercent:    20,
		massCount:      3,
		// Four times the 2,300 instances and six times the 170 services that
		// the design assumes, which leaves headroom and limits memory.
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
// suspect for suspectTimeout when the leases of more than percent of them, and
// of at least count, expire within one lease time.
func (o Options) WithMassExpiry(percent, count int, suspectTimeout time.Duration) Options {
	o.massPercent, o.massCount, o.suspectTimeout = percent, count, suspectTimeout
	return o
}

// WithBounds returns a copy with limits on the number of instances, of services
// and of entries in the change log of each service.
func (o Options) WithBounds(instances, services, changes int) Options {
	o.maxInstances, o.maxServices, o.maxChanges = instances, services, max(changes, 1)
	return o
}

// overdueAge is the age of a lease at which other control instances are informed
// that it may expire.
func (o Options) overdueAge() time.Duration { return o.lease * 2 / 3 }

// retention is how long the entry of an expired instance is kept. It is longer
// than a partitioned control instance can keep an older announcement of the
// instance listed.
func (o Options) retention() time.Duration { return o.suspectTimeout + 2*o.lease }
