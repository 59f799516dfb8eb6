package wasabimember

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/wasabiwire"
)

// service is the list that nodes see of one service.
type service struct {
	members map[string]*member
	version uint64
	// floor is the oldest version from which the log tells all changes.
	floor uint64
	log   []change
	// emptied is when Tick first saw the service without members.
	emptied time.Time
}

type member struct {
	// public is what deltas tell: without the fields that renewals change.
	public wasabistand.Instance
	entry  *entry
}

type change struct {
	version uint64
	id      string
}

// refresh recomputes how one instance is listed and logs a change.
func (r *Registry) refresh(id string) {
	e, holder := r.best(id)
	state := leaseLapsed
	if e != nil {
		state = holder.stateOf(e)
	}
	if name, ok := r.listed[id]; ok && (state == leaseLapsed || name != e.instance.Service) {
		delete(r.listed, id)
		s := r.services[name]
		delete(s.members, id)
		r.log(s, id)
	}
	if state == leaseLapsed {
		return
	}
	s := r.services[e.instance.Service]
	if s == nil {
		if len(r.services) >= r.options.maxServices {
			return
		}
		r.version++
		s = &service{members: make(map[string]*member), version: r.version, floor: r.version}
		r.services[e.instance.Service] = s
	}
	public := e.instance
	public.Sequence, public.RevisionInForce = 0, 0
	public.Suspect = state == leaseSuspect
	r.listed[id] = e.instance.Service
	if m := s.members[id]; m != nil {
		m.entry = e
		if m.public == public {
			return
		}
		m.public = public
	} else {
		s.members[id] = &member{public: public, entry: e}
	}
	r.log(s, id)
}

func (r *Registry) refreshAll(l *list) {
	for _, id := range slices.Sorted(maps.Keys(l.entries)) {
		r.refresh(id)
	}
}

func (r *Registry) log(s *service, id string) {
	r.version++
	s.version = r.version
	s.log = append(s.log, change{version: r.version, id: id})
	// Half of a log that is too long is dropped at once, so that a change
	// costs constant time on average.
	if n := len(s.log); n > r.options.maxChanges {
		s.floor = s.log[n/2].version
		s.log = append([]change(nil), s.log[n/2+1:]...)
	}
}

// Version returns the version of a service's list. It differs from before when
// Delta has something to tell.
func (r *Registry) Version(service string) uint64 {
	if s := r.services[service]; s != nil {
		return s.version
	}
	return r.base | 1
}

// Delta returns the changes of a service's list since a version that this
// registry gave, or the full list, with base version 0, when it no longer knows
// them. It returns nil when nothing changed. A node that comes from another
// control instance gets the full list. Sequences and revisions in force are
// left out, so that renewals cause no deltas; drains come with the
// configuration.
func (r *Registry) Delta(service string, from uint64) *wasabistandv1.MembershipDelta {
	d := &wasabistandv1.MembershipDelta{Service: service, Version: r.Version(service)}
	if from == d.Version {
		return nil
	}
	s := r.services[service]
	if s == nil {
		return d
	}
	if from < s.floor || from > s.version {
		for _, id := range slices.Sorted(maps.Keys(s.members)) {
			d.Upserts = append(d.Upserts, wasabiwire.FromInstance(s.members[id].public))
		}
		return d
	}
	d.BaseVersion = from
	changed := make(map[string]struct{})
	for i := len(s.log) - 1; i >= 0 && s.log[i].version > from; i-- {
		changed[s.log[i].id] = struct{}{}
	}
	for _, id := range slices.Sorted(maps.Keys(changed)) {
		if m := s.members[id]; m != nil {
			d.Upserts = append(d.Upserts, wasabiwire.FromInstance(m.public))
		} else {
			d.Removes = append(d.Removes, id)
		}
	}
	return d
}

// List returns the instances of a service, or all for an empty name, by name.
func (r *Registry) List(service string) []wasabistand.Instance {
	var list []wasabistand.Instance
	for name, s := range r.services {
		if service != "" && name != service {
			continue
		}
		for _, m := range s.members {
			i := m.entry.instance
			i.Suspect = m.public.Suspect
			list = append(list, i)
		}
	}
	slices.SortFunc(list, func(a, b wasabistand.Instance) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// Renewed returns when an instance's lease was last renewed, as far as this
// registry knows: for instances of other control instances, when these were
// last heard.
func (r *Registry) Renewed(id string) (time.Time, bool) {
	e, holder := r.best(id)
	switch {
	case e == nil:
		return time.Time{}, false
	case holder == r.local:
		return e.renewed, true
	case e.state <= leaseSuspect:
		return e.lapsed.Add(-r.options.lease), true
	}
	return holder.heard, true
}

// Stats counts what a registry holds.
type Stats struct {
	// Listed is how many instances are listed, Suspect how many of them are
	// kept after a mass expiry.
	Listed, Suspect int
	// Local is how many instances the own list holds, those included that
	// are remembered and no longer listed.
	Local int
	// Sources is how many other control instances' lists are kept.
	Sources  int
	Services int
}

// Stats returns the counts.
func (r *Registry) Stats() Stats {
	s := Stats{Listed: len(r.listed), Local: len(r.local.entries), Sources: len(r.remote), Services: len(r.services)}
	for _, v := range r.services {
		for _, m := range v.members {
			if m.public.Suspect {
				s.Suspect++
			}
		}
	}
	return s
}
