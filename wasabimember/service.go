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

// service holds the instances of one service. Those that don't leave are published to
// nodes.
type service struct {
	members map[string]*member
	version uint64
	// logStart is the oldest version since which changes is complete.
	logStart uint64
	changes  []change
	// digest is that of the list at digestVersion.
	digest        uint64
	digestVersion uint64
	// emptySince is when Tick first found the service without members.
	emptySince time.Time
}

type member struct {
	// published is the instance as sent in deltas, without the fields that
	// renewals change.
	published wasabistand.Instance
	// suspect is not sent to nodes, which don't use it: after the loss of a control
	// instance it changes for all instances of that one, and back.
	suspect bool
	entry   *entry
}

// isListed reports whether nodes are sent the instance. They need no instances that
// are leaving: a restart would cost each of them two entries more.
func (m *member) isListed() bool { return m.published.State != wasabistand.Leaving }

type change struct {
	version uint64
	id      string
}

// refresh recomputes how one instance is listed and records a change.
func (r *Registry) refresh(id string) {
	e, holder := r.bestEntry(id)
	state := leaseExpired
	if e != nil {
		state = holder.effectiveState(e)
	}
	if name, ok := r.listedService[id]; ok && (state == leaseExpired || name != e.instance.Service) {
		delete(r.listedService, id)
		s := r.services[name]
		wasListed := s.members[id].isListed()
		delete(s.members, id)
		if wasListed {
			r.recordChange(s, id)
		}
	}
	if state == leaseExpired {
		return
	}
	s := r.services[e.instance.Service]
	if s == nil {
		if len(r.services) >= r.options.maxServices {
			return
		}
		r.version++
		s = &service{members: make(map[string]*member), version: r.version, logStart: r.version}
		r.services[e.instance.Service] = s
	}
	published := e.instance
	published.Sequence, published.AppliedRevision = 0, 0
	isSuspect := state == leaseSuspect
	r.listedService[id] = e.instance.Service
	if m := s.members[id]; m != nil {
		m.entry, m.suspect = e, isSuspect
		if m.published == published {
			return
		}
		wasListed := m.isListed()
		m.published = published
		if wasListed || m.isListed() {
			r.recordChange(s, id)
		}
		return
	}
	m := &member{published: published, suspect: isSuspect, entry: e}
	s.members[id] = m
	if m.isListed() {
		r.recordChange(s, id)
	}
}

func (r *Registry) refreshAll(l *memberList) {
	for _, id := range slices.Sorted(maps.Keys(l.entries)) {
		r.refresh(id)
	}
}

func (r *Registry) recordChange(s *service, id string) {
	r.version++
	s.version = r.version
	s.changes = append(s.changes, change{version: r.version, id: id})
	// Half of a log that is too long is dropped at once, so that a change takes
	// amortized constant time.
	if n := len(s.changes); n > r.options.maxChanges {
		s.logStart = s.changes[n/2].version
		s.changes = append([]change(nil), s.changes[n/2+1:]...)
	}
}

// Version returns the version of a service's list. It changes whenever the list
// does.
func (r *Registry) Version(service string) uint64 {
	if s := r.services[service]; s != nil {
		return s.version
	}
	return r.versionBase | 1
}

// Delta returns the changes of a service's list since a version returned by
// this registry, or the full list, with base version 0, if they are no longer
// in the change log. It returns nil if nothing changed. A node with a version
// of another control instance gets the full list. Sequences and applied
// revisions are omitted, so that renewals cause no deltas; so are suspicions, which nodes don't use, and instances that leave. Drains are sent
// with the configuration.
func (r *Registry) Delta(service string, from uint64) *wasabistandv1.MembershipDelta {
	d := &wasabistandv1.MembershipDelta{Service: service, Version: r.Version(service)}
	if from == d.Version {
		return nil
	}
	s := r.services[service]
	if s == nil {
		return d
	}
	if from < s.logStart || from > s.version {
		for _, id := range slices.Sorted(maps.Keys(s.members)) {
			if m := s.members[id]; m.isListed() {
				d.Upserts = append(d.Upserts, wasabiwire.FromInstance(m.published))
			}
		}
		return d
	}
	d.BaseVersion = from
	changed := make(map[string]struct{})
	for i := len(s.changes) - 1; i >= 0 && s.changes[i].version > from; i-- {
		changed[s.changes[i].id] = struct{}{}
	}
	for _, id := range slices.Sorted(maps.Keys(changed)) {
		if m := s.members[id]; m != nil && m.isListed() {
			d.Upserts = append(d.Upserts, wasabiwire.FromInstance(m.published))
		} else {
			d.Removes = append(d.Removes, id)
		}
	}
	return d
}

// List returns the instances of a service, or of all services if the name is
// empty, sorted by ID.
func (r *Registry) List(service string) []wasabistand.Instance {
	var list []wasabistand.Instance
	for name, s := range r.services {
		if service != "" && name != service {
			continue
		}
		for _, m := range s.members {
			i := m.entry.instance
			i.Suspect = m.suspect
			list = append(list, i)
		}
	}
	slices.SortFunc(list, func(a, b wasabistand.Instance) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// LastRenewal returns when an instance's lease was last renewed, as far as known
// to this registry. For an instance with a valid lease at another control
// instance, this is when the last message of that control instance arrived.
func (r *Registry) LastRenewal(id string) (time.Time, bool) {
	e, holder := r.bestEntry(id)
	switch {
	case e == nil:
		return time.Time{}, false
	case holder == r.local:
		return e.renewedAt, true
	case e.state <= leaseSuspect:
		return e.expiredAt.Add(-r.options.lease), true
	}
	return holder.lastReceived, true
}

// Stats counts the entries of a registry.
type Stats struct {
	// Listed is the number of listed instances, Suspect the number of those
	// that are kept after a mass expiry.
	Listed, Suspect int
	// Local is the number of entries in the local list, including expired
	// ones that are no longer listed.
	Local int
	// Sources is the number of lists of other control instances.
	Sources  int
	Services int
}

// Stats returns the counts.
func (r *Registry) Stats() Stats {
	s := Stats{Listed: len(r.listedService), Local: len(r.local.entries), Sources: len(r.remote), Services: len(r.services)}
	for _, v := range r.services {
		for _, m := range v.members {
			if m.suspect {
				s.Suspect++
			}
		}
	}
	return s
}
