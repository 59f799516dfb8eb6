package wasabimember

import (
	"time"

	"github.com/wasabistand/wasabistand"
)

// Tick expires leases. It must be called at least six times per lease time.
func (r *Registry) Tick(now time.Time) {
	if r.firstTick.IsZero() {
		r.firstTick = now
	}
	for key, l := range r.remote {
		switch age := now.Sub(l.lastReceived); {
		case age >= r.options.lease+r.options.suspectTimeout:
			delete(r.remote, key)
			delete(r.wantFull, l.source)
			r.refreshAll(l)
		case age >= r.options.lease && !l.timedOut:
			l.timedOut = true
			r.refreshAll(l)
		}
	}
	r.tickLocal(now)
	for name, s := range r.services {
		switch {
		case len(s.members) > 0:
			s.emptySince = time.Time{}
		case s.emptySince.IsZero():
			s.emptySince = now
		case now.Sub(s.emptySince) >= r.options.retention():
			delete(r.services, name)
		}
	}
}

func (r *Registry) tickLocal(now time.Time) {
	pending := false
	for id, e := range r.local.entries {
		age := now.Sub(e.renewedAt)
		switch {
		case e.state <= leaseSuspect:
			if now.Sub(e.expiredAt) >= r.options.retention() {
				r.local.remove(id)
				r.markDirty(id)
				continue
			}
			pending = pending || now.Sub(e.expiredAt) <= 2*r.options.lease || e.state == leaseSuspect
		case age >= r.options.lease:
			r.expireLease(e, e.renewedAt.Add(r.options.lease))
			pending = true
		case age >= r.options.overdueAge() && e.state == leaseHeld:
			e.state = leaseOverdue
			r.local.updateDigest(e)
			r.markDirty(id)
		}
	}
	if !pending {
		return
	}
	count := r.countExpiries(now)
	for id, e := range r.local.entries {
		if e.state > leaseSuspect {
			continue
		}
		if state := r.stateAfterExpiry(now, e, count[e.instance.Service]); state != e.state {
			e.state = state
			r.local.updateDigest(e)
			r.markDirty(id)
		}
	}
}

// stateAfterExpiry returns the state of an entry whose lease expired: suspect if
// the instance stays listed. It counts the leases that expired within one lease
// time of this one. During the first lease time it also counts those that are
// about to expire, so that no instance is removed before the extent of a mass
// expiry is known.
func (r *Registry) stateAfterExpiry(now time.Time, e *entry, x *expiryCounts) leaseState {
	age := now.Sub(e.expiredAt)
	if x == nil || e.instance.State == wasabistand.Leaving || age >= r.options.suspectTimeout {
		return leaseExpired
	}
	if !e.inMassExpiry && age <= 2*r.options.lease {
		concurrent := 0
		for _, t := range x.expiryTimes {
			if t.Sub(e.expiredAt).Abs() <= r.options.lease {
				concurrent++
			}
		}
		e.inMassExpiry = r.isMassExpiry(concurrent, x.total)
		if !e.inMassExpiry && age <= r.options.lease && r.isMassExpiry(concurrent+x.overdue, x.total) {
			return leaseSuspect
		}
	}
	if e.inMassExpiry {
		return leaseSuspect
	}
	return leaseExpired
}

func (r *Registry) isMassExpiry(count, total int) bool {
	return count >= r.options.massCount && count*100 > total*r.options.massPercent
}

// expiryCounts counts the leases of one service over all sources.
type expiryCounts struct {
	total       int
	overdue     int
	expiryTimes []time.Time
}

func (r *Registry) countExpiries(now time.Time) map[string]*expiryCounts {
	count := make(map[string]*expiryCounts)
	add := func(l *memberList) {
		for id, e := range l.entries {
			if best, _ := r.bestEntry(id); best != e {
				continue
			}
			x := count[e.instance.Service]
			if x == nil {
				x = &expiryCounts{}
				count[e.instance.Service] = x
			}
			x.add(now, r.options, l, e)
		}
	}
	add(r.local)
	for _, l := range r.remote {
		add(l)
	}
	return count
}

func (x *expiryCounts) add(now time.Time, o Options, l *memberList, e *entry) {
	leaving := e.instance.State == wasabistand.Leaving
	switch {
	case e.state <= leaseSuspect:
		if e.state == leaseExpired && (leaving || now.Sub(e.expiredAt) > 3*o.lease) {
			return
		}
		x.expiryTimes = append(x.expiryTimes, e.expiredAt)
	case l.timedOut:
		x.expiryTimes = append(x.expiryTimes, l.lastReceived.Add(o.lease))
	case e.state == leaseOverdue && !leaving:
		x.overdue++
	}
	x.total++
}
