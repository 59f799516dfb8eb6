package wasabimember

import (
	"time"

	"github.com/wasabistand/wasabistand"
)

// Tick expires leases, times out the lists of other control instances and
// removes services that stay empty. It must be called at least six times per
// lease time.
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
	counts := r.countExpiries(now)
	for id, e := range r.local.entries {
		if e.state > leaseSuspect {
			continue
		}
		if state := r.stateAfterExpiry(now, e, counts[e.instance.Service]); state != e.state {
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
func (r *Registry) stateAfterExpiry(now time.Time, e *entry, counts *expiryCounts) leaseState {
	age := now.Sub(e.expiredAt)
	if counts == nil || e.instance.State == wasabistand.Leaving || age >= r.options.suspectTimeout {
		return leaseExpired
	}
	if !e.inMassExpiry && age <= 2*r.options.lease {
		concurrent := 0
		for _, t := range counts.expiryTimes {
			if t.Sub(e.expiredAt).Abs() <= r.options.lease {
				concurrent++
			}
		}
		e.inMassExpiry = r.isMassExpiry(concurrent, counts.total)
		if !e.inMassExpiry && age <= r.options.lease && r.isMassExpiry(concurrent+counts.overdue, counts.total) {
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
	counts := make(map[string]*expiryCounts)
	add := func(l *memberList) {
		for id, e := range l.entries {
			if best, _ := r.bestEntry(id); best != e {
				continue
			}
			c := counts[e.instance.Service]
			if c == nil {
				c = &expiryCounts{}
				counts[e.instance.Service] = c
			}
			c.add(now, r.options, l, e)
		}
	}
	add(r.local)
	for _, l := range r.remote {
		add(l)
	}
	return counts
}

func (c *expiryCounts) add(now time.Time, o Options, l *memberList, e *entry) {
	leaving := e.instance.State == wasabistand.Leaving
	switch {
	case e.state <= leaseSuspect:
		if e.state == leaseExpired && (leaving || now.Sub(e.expiredAt) > 3*o.lease) {
			return
		}
		c.expiryTimes = append(c.expiryTimes, e.expiredAt)
	case l.timedOut:
		c.expiryTimes = append(c.expiryTimes, l.lastReceived.Add(o.lease))
	case e.state == leaseOverdue && !leaving:
		c.overdue++
	}
	c.total++
}
