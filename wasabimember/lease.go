package wasabimember

import (
	"time"

	"github.com/wasabistand/wasabistand"
)

// Tick ends leases that ran out. Call it at least six times a lease.
func (r *Registry) Tick(now time.Time) {
	if r.started.IsZero() {
		r.started = now
	}
	for key, l := range r.remote {
		switch age := now.Sub(l.heard); {
		case age >= r.options.lease+r.options.hold:
			delete(r.remote, key)
			delete(r.wanted, l.source)
			r.refreshAll(l)
		case age >= r.options.lease && !l.silent:
			l.silent = true
			r.refreshAll(l)
		}
	}
	r.tickLocal(now)
	for name, s := range r.services {
		switch {
		case len(s.members) > 0:
			s.emptied = time.Time{}
		case s.emptied.IsZero():
			s.emptied = now
		case now.Sub(s.emptied) >= r.options.memory():
			delete(r.services, name)
		}
	}
}

func (r *Registry) tickLocal(now time.Time) {
	pending := false
	for id, e := range r.local.entries {
		age := now.Sub(e.renewed)
		switch {
		case e.state <= leaseSuspect:
			if now.Sub(e.lapsed) >= r.options.memory() {
				r.local.remove(id)
				r.touch(id)
				continue
			}
			pending = pending || now.Sub(e.lapsed) <= 2*r.options.lease || e.state == leaseSuspect
		case age >= r.options.lease:
			r.lapse(e, e.renewed.Add(r.options.lease))
			pending = true
		case age >= r.options.late() && e.state == leaseHeld:
			e.state = leaseLate
			r.local.changed(e)
			r.touch(id)
		}
	}
	if !pending {
		return
	}
	count := r.countExpiry(now)
	for id, e := range r.local.entries {
		if e.state > leaseSuspect {
			continue
		}
		if state := r.keep(now, e, count[e.instance.Service]); state != e.state {
			e.state = state
			r.local.changed(e)
			r.touch(id)
		}
	}
}

// keep decides whether an instance whose lease ran out stays listed. Leases
// that ran out with this one count, and for the first lease time also those
// that are about to run out, so that others are not removed before the extent
// of a mass expiry is known.
func (r *Registry) keep(now time.Time, e *entry, x *expiry) leaseState {
	age := now.Sub(e.lapsed)
	if x == nil || e.instance.State == wasabistand.Leaving || age >= r.options.hold {
		return leaseLapsed
	}
	if !e.confirmed && age <= 2*r.options.lease {
		together := 0
		for _, t := range x.lapses {
			if t.Sub(e.lapsed).Abs() <= r.options.lease {
				together++
			}
		}
		e.confirmed = r.mass(together, x.total)
		if !e.confirmed && age <= r.options.lease && r.mass(together+x.late, x.total) {
			return leaseSuspect
		}
	}
	if e.confirmed {
		return leaseSuspect
	}
	return leaseLapsed
}

func (r *Registry) mass(count, total int) bool {
	return count >= r.options.massCount && count*100 > total*r.options.massPercent
}

// expiry counts the instances of one service over all sources.
type expiry struct {
	total  int
	late   int
	lapses []time.Time
}

func (r *Registry) countExpiry(now time.Time) map[string]*expiry {
	count := make(map[string]*expiry)
	add := func(l *list) {
		for id, e := range l.entries {
			if best, _ := r.best(id); best != e {
				continue
			}
			x := count[e.instance.Service]
			if x == nil {
				x = &expiry{}
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

func (x *expiry) add(now time.Time, o Options, l *list, e *entry) {
	leaving := e.instance.State == wasabistand.Leaving
	switch {
	case e.state <= leaseSuspect:
		if e.state == leaseLapsed && (leaving || now.Sub(e.lapsed) > 3*o.lease) {
			return
		}
		x.lapses = append(x.lapses, e.lapsed)
	case l.silent:
		x.lapses = append(x.lapses, l.heard.Add(o.lease))
	case e.state == leaseLate && !leaving:
		x.late++
	}
	x.total++
}
