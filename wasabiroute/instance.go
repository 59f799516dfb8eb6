package wasabiroute

import (
	"slices"
	"time"

	"github.com/wasabistand/wasabistand"
)

// coldShare is the part of its full share that a cold instance starts with.
const coldShare = 0.1

// instance is one instance with what this node observed of it.
type instance struct {
	wasabistand.Instance
	// present says that the instance is in the service's list.
	present     bool
	outstanding int
	coldSince   time.Time
	// leaving says that an answer announced it before control did.
	leaving bool

	// link and reserved belong to calls sent to another region.
	link     *link
	reserved int64

	busyUntil    time.Time
	refusedUntil time.Time
	// refusedUpTo is the highest importance that is refused until then.
	refusedUpTo wasabistand.Importance

	health health
}

// update takes over what control says of the instance.
func (i *instance) update(now time.Time, v wasabistand.Instance) {
	if v.Incarnation != i.Incarnation {
		*i = instance{outstanding: i.outstanding, link: i.link, reserved: i.reserved}
	}
	// Control may lag behind the instance's own answer; only a newer
	// announcement or answer revokes it.
	if v.Sequence > i.Sequence {
		i.leaving = false
	}
	if v.State == wasabistand.Cold && i.State != wasabistand.Cold {
		i.coldSince = now
	}
	i.Instance = v
}

// takes reports whether the instance may get the call at all.
func (i *instance) takes(q *wasabistand.Query) bool {
	return i.TakesWork() && !slices.Contains(q.Exclude, i.ID)
}

// weight is the part of its full share that the instance gets.
func (i *instance) weight(now time.Time, warmup time.Duration) float64 {
	if i.State != wasabistand.Cold {
		return 1
	}
	warm := float64(now.Sub(i.coldSince)) / float64(warmup)
	return coldShare + (1-coldShare)*min(max(warm, 0), 1)
}

// free reports whether a slot is likely to be free.
func (i *instance) free(now time.Time, warmup time.Duration) bool {
	slots := max(float64(i.Slots)*i.weight(now, warmup), 1)
	return float64(i.outstanding) < slots && !now.Before(i.busyUntil)
}

// refuses reports whether the instance refused such calls a short time ago.
func (i *instance) refuses(now time.Time, importance wasabistand.Importance) bool {
	return importance <= i.refusedUpTo && now.Before(i.refusedUntil)
}

// score is the load for the choice between two candidates. A failure counts
// for a short time like another call in flight.
func (i *instance) score(now time.Time, recent time.Duration) float64 {
	calls := i.outstanding + 1
	if i.health.failures > 0 && now.Sub(i.health.last) < recent {
		calls += i.health.failures
	}
	return float64(calls) / float64(max(i.Slots, 1))
}

// failing reports whether the instance failed lately as often as one that is
// ejected, but is not because of the bound on ejections. It still gets a call
// now and then, and more when the others are full.
func (i *instance) failing(now time.Time, o *Options) bool {
	return i.health.failures >= o.failures && now.Sub(i.health.last) < o.ejectBase
}

func (i *instance) rankNear(now time.Time, q *wasabistand.Query, o *Options) rank {
	switch {
	case !i.takes(q):
		return rankNone
	case i.leaving:
		return rankLeaving
	case i.ejected(now):
		return rankEjected
	case i.refuses(now, q.Importance):
		return rankRefused
	case !i.free(now, o.warmup):
		return rankFull
	case i.failing(now, o):
		return rankFailing
	case q.Avoid != "" && i.Location.FailureDomain == q.Avoid:
		return rankSameRegionAvoided
	case i.Location.FailureDomain == q.From.FailureDomain:
		return rankSameDomain
	default:
		return rankSameRegion
	}
}

func (i *instance) rankFar(now time.Time, q *wasabistand.Query, o *Options) rank {
	switch {
	case !i.takes(q):
		return rankNone
	case i.leaving:
		return rankLeaving
	case i.ejected(now):
		return rankEjected
	case i.refuses(now, q.Importance), !i.free(now, o.warmup):
		return rankOtherRegionFull
	case i.failing(now, o):
		return rankFailing
	case q.Avoid != "" && i.Location.FailureDomain == q.Avoid:
		return rankOtherRegionAvoided
	default:
		return rankOtherRegion
	}
}

// learn records what an answer told of the instance's load.
func (i *instance) learn(now time.Time, l *wasabistand.Load, avoid time.Duration) {
	i.leaving = l.Leaving
	i.busyUntil = time.Time{}
	if l.Waiting > 0 {
		// A queue changes within a few calls, so this is believed for half
		// of the time that a refusal is.
		i.busyUntil = now.Add(avoid / 2)
	}
	if l.Level > wasabistand.Low {
		i.refusedUpTo, i.refusedUntil = min(l.Level, wasabistand.Critical)-1, now.Add(avoid)
	} else {
		i.refusedUntil = time.Time{}
	}
}

// refuse records a refusal for load. The refused call was at most as
// important as the level, which rises with each refusal.
func (i *instance) refuse(now time.Time, l *wasabistand.Load, avoid time.Duration) {
	i.refusedUpTo = wasabistand.Critical
	if l != nil && l.Level.Valid() {
		i.refusedUpTo = l.Level
	}
	i.refusedUntil = now.Add(avoid)
}
