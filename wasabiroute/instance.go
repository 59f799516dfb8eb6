package wasabiroute

import (
	"slices"
	"time"

	"github.com/wasabistand/wasabistand"
)

// coldShare is the fraction of its full share of calls that a cold instance starts
// with.
const coldShare = 0.1

// instance holds an instance and this node's observations of it.
type instance struct {
	wasabistand.Instance
	// listed reports whether the instance is in the service's current list.
	listed      bool
	outstanding int
	coldSince   time.Time
	// reportedLeaving is set when a response reported that the instance is leaving,
	// which may precede the update from control.
	reportedLeaving bool

	// link and reservedBytes account for calls in flight to another region.
	link          *regionLink
	reservedBytes int64

	busyUntil    time.Time
	refusedUntil time.Time
	// refusedUpTo is the highest importance that is refused until refusedUntil.
	refusedUpTo wasabistand.Importance

	health health
}

// update applies the state that control distributes for the instance.
func (i *instance) update(now time.Time, v wasabistand.Instance) {
	if v.Incarnation != i.Incarnation {
		*i = instance{outstanding: i.outstanding, link: i.link, reservedBytes: i.reservedBytes}
	}
	// Control may lag behind the instance's own responses, so only a newer
	// announcement or response clears the flag.
	if v.Sequence > i.Sequence {
		i.reportedLeaving = false
	}
	if v.State == wasabistand.Cold && i.State != wasabistand.Cold {
		i.coldSince = now
	}
	i.Instance = v
}

// isEligible reports whether the call may be sent to the instance.
func (i *instance) isEligible(q *wasabistand.Query) bool {
	return i.AcceptsCalls() && !slices.Contains(q.Exclude, i.ID)
}

// weight returns the fraction of its full share of calls that the instance gets.
func (i *instance) weight(now time.Time, warmup time.Duration) float64 {
	if i.State != wasabistand.Cold {
		return 1
	}
	warm := float64(now.Sub(i.coldSince)) / float64(warmup)
	return coldShare + (1-coldShare)*min(max(warm, 0), 1)
}

// hasFreeSlot reports whether a slot is likely to be free.
func (i *instance) hasFreeSlot(now time.Time, warmup time.Duration) bool {
	slots := max(float64(i.Slots)*i.weight(now, warmup), 1)
	return float64(i.outstanding) < slots && !now.Before(i.busyUntil)
}

// hasRefused reports whether the instance recently refused calls of this importance.
func (i *instance) hasRefused(now time.Time, importance wasabistand.Importance) bool {
	return importance <= i.refusedUpTo && now.Before(i.refusedUntil)
}

// score returns the load per slot, by which two candidates are compared. Within
// failureWindow, each consecutive failure counts as one more call in flight.
func (i *instance) score(now time.Time, failureWindow time.Duration) float64 {
	calls := i.outstanding + 1
	if i.health.consecutiveFailures > 0 && now.Sub(i.health.lastResultAt) < failureWindow {
		calls += i.health.consecutiveFailures
	}
	return float64(calls) / float64(max(i.Slots, 1))
}

// isFailing reports whether the instance recently failed often enough to be ejected.
// It is not ejected when the bound on ejections is reached; it then still gets
// occasional calls, and more when the other instances are full.
func (i *instance) isFailing(now time.Time, o *Options) bool {
	return i.health.consecutiveFailures >= o.ejectAfterFailures && now.Sub(i.health.lastResultAt) < o.ejectBase
}

// localRank returns the rank of an instance in the caller's region.
func (i *instance) localRank(now time.Time, q *wasabistand.Query, o *Options) rank {
	switch {
	case !i.isEligible(q):
		return rankNone
	case i.reportedLeaving:
		return rankLeaving
	case i.isEjected(now):
		return rankEjected
	case i.hasRefused(now, q.Importance):
		return rankRefused
	case !i.hasFreeSlot(now, o.warmup):
		return rankFull
	case i.isFailing(now, o):
		return rankFailing
	case q.Avoid != "" && i.Location.FailureDomain == q.Avoid:
		return rankSameRegionAvoided
	case i.Location.FailureDomain == q.From.FailureDomain:
		return rankSameDomain
	default:
		return rankSameRegion
	}
}

// remoteRank returns the rank of an instance in another region.
func (i *instance) remoteRank(now time.Time, q *wasabistand.Query, o *Options) rank {
	switch {
	case !i.isEligible(q):
		return rankNone
	case i.reportedLeaving:
		return rankLeaving
	case i.isEjected(now):
		return rankEjected
	case i.hasRefused(now, q.Importance), !i.hasFreeSlot(now, o.warmup):
		return rankOtherRegionFull
	case i.isFailing(now, o):
		return rankFailing
	case q.Avoid != "" && i.Location.FailureDomain == q.Avoid:
		return rankOtherRegionAvoided
	default:
		return rankOtherRegion
	}
}

// recordLoad records the instance's load as reported by a response.
func (i *instance) recordLoad(now time.Time, l *wasabistand.Load, backoff time.Duration) {
	i.reportedLeaving = l.Leaving
	i.busyUntil = time.Time{}
	if l.Waiting > 0 {
		// A queue changes within a few calls, so a reported queue is trusted
		// for half as long as a refusal.
		i.busyUntil = now.Add(backoff / 2)
	}
	if l.Level > wasabistand.Low {
		i.refusedUpTo, i.refusedUntil = min(l.Level, wasabistand.Critical)-1, now.Add(backoff)
	} else {
		i.refusedUntil = time.Time{}
	}
}

// recordRefusal records a refusal for load. The importance of the refused call was
// not above the admission level, which rises with each refusal.
func (i *instance) recordRefusal(now time.Time, l *wasabistand.Load, backoff time.Duration) {
	i.refusedUpTo = wasabistand.Critical
	if l != nil && l.Level.Valid() {
		i.refusedUpTo = l.Level
	}
	i.refusedUntil = now.Add(backoff)
}
