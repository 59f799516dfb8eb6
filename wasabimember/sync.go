package wasabimember

import (
	"maps"
	"slices"
	"time"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/wasabiwire"
)

// Sync returns what to tell other control instances. Without full it holds the
// changes since the last such message and goes to all of them: once a second,
// and at once when Pending. With full it holds the whole own list and goes to
// one that has just connected.
func (r *Registry) Sync(now time.Time, full bool) *wasabistandv1.MemberSync {
	broadcast := !full
	if broadcast {
		r.local.sequence++
		full = r.fullDue
		r.fullDue = false
	}
	m := &wasabistandv1.MemberSync{
		Source: r.options.source, Epoch: r.options.epoch, Sequence: r.local.sequence,
		Digest: r.local.digest, Full: full, WantFull: slices.Sorted(maps.Keys(r.wanted)),
	}
	if full {
		for _, id := range slices.Sorted(maps.Keys(r.local.entries)) {
			m.Upserts = append(m.Upserts, r.message(now, r.local.entries[id]))
		}
	} else {
		r.fillChanges(now, m)
	}
	if broadcast {
		clear(r.dirty)
		clear(r.dirtyRevisions)
	}
	return m
}

func (r *Registry) fillChanges(now time.Time, m *wasabistandv1.MemberSync) {
	for _, id := range slices.Sorted(maps.Keys(r.dirty)) {
		if e := r.local.entries[id]; e != nil {
			m.Upserts = append(m.Upserts, r.message(now, e))
		} else {
			m.Removes = append(m.Removes, id)
		}
	}
	holders := make(map[uint64][]string)
	for id := range r.dirtyRevisions {
		if _, whole := r.dirty[id]; whole {
			continue
		}
		if e := r.local.entries[id]; e != nil {
			holders[e.instance.RevisionInForce] = append(holders[e.instance.RevisionInForce], id)
		}
	}
	for _, revision := range slices.Sorted(maps.Keys(holders)) {
		slices.Sort(holders[revision])
		m.Revisions = append(m.Revisions, &wasabistandv1.RevisionHolders{Revision: revision, Instances: holders[revision]})
	}
}

// message tells an entry of the own list. The age of the lease tells its
// state, see entryOf.
func (r *Registry) message(now time.Time, e *entry) *wasabistandv1.Instance {
	m := wasabiwire.FromInstance(e.instance)
	m.Suspect = e.state == leaseSuspect
	var age time.Duration
	switch e.state {
	case leaseLate:
		age = min(max(now.Sub(e.renewed), r.options.late()), r.options.lease-time.Millisecond)
	case leaseSuspect, leaseLapsed:
		age = r.options.lease + max(now.Sub(e.lapsed), 0)
	}
	m.RenewedMsAgo = uint64(age.Milliseconds())
	return m
}

func (r *Registry) entryOf(now time.Time, m *wasabistandv1.Instance) (*entry, error) {
	i, err := wasabiwire.ToInstance(m)
	if err != nil {
		return nil, err
	}
	e := &entry{instance: i, state: leaseHeld}
	e.instance.Drained, e.instance.Suspect = false, false
	// The bound keeps a faulty peer's value from wrapping around.
	age := time.Duration(min(m.GetRenewedMsAgo(), 1<<40)) * time.Millisecond
	switch {
	case age >= r.options.lease:
		e.state, e.lapsed = leaseLapsed, now.Add(r.options.lease-age)
		if i.Suspect {
			e.state = leaseSuspect
		}
	case age >= r.options.late():
		e.state = leaseLate
	}
	return e, nil
}

// Merge takes over what another control instance tells. Messages may be lost,
// repeated or late. Entries that are not allowed are left out and the first
// error is returned; the rest counts.
func (r *Registry) Merge(now time.Time, m *wasabistandv1.MemberSync) error {
	if m.GetSource() == r.options.source {
		return nil
	}
	if n := len(m.GetSource()); n == 0 || n > wasabiwire.MaxNameBytes {
		return wasabistand.ErrInvalid.New("source: %d bytes, allowed are 1 to %d", n, wasabiwire.MaxNameBytes)
	}
	if n := len(m.GetUpserts()); n > r.options.maxInstances {
		return wasabistand.ErrInvalid.New("upserts: %d, allowed are %d", n, r.options.maxInstances)
	}
	l, err := r.source(m)
	if err != nil {
		return err
	}
	if m.GetSequence() < l.sequence || (m.GetSequence() == l.sequence && !m.GetFull()) {
		return nil
	}
	if slices.Contains(m.GetWantFull(), r.options.source) {
		r.fullDue = true
	}
	l.sequence, l.heard = m.GetSequence(), now
	if l.silent {
		l.silent = false
		defer r.refreshAll(l)
	}
	err = r.mergeEntries(now, l, m)
	// A copy that lacks a change differs in its digest and is repaired by the
	// source's full list.
	if l.digest != m.GetDigest() {
		r.wanted[l.source] = struct{}{}
	} else {
		delete(r.wanted, l.source)
	}
	return err
}

// source returns the copy of a source's list. Each process of a control
// instance has a list of its own. That of an ended process is kept until it
// counts as silent and its hold is over: its instances are alive and will
// announce themselves, and its last messages may come after the first ones of
// the next process.
func (r *Registry) source(m *wasabistandv1.MemberSync) (*list, error) {
	key := sourceKey{m.GetSource(), m.GetEpoch()}
	l := r.remote[key]
	if l == nil {
		if len(r.remote) >= maxSources && !r.dropEnded(key.source) {
			return nil, ErrFull.New("%d sources, allowed are %d", len(r.remote), maxSources)
		}
		l = newList(key.source, key.epoch)
		r.remote[key] = l
	}
	return l, nil
}

// dropEnded drops the list of a source that was heard longest ago, so that one
// control instance that restarts again and again leaves room for others.
func (r *Registry) dropEnded(source string) bool {
	var oldest *list
	for _, l := range r.remote {
		if l.source == source && (oldest == nil || l.heard.Before(oldest.heard)) {
			oldest = l
		}
	}
	if oldest == nil {
		return false
	}
	delete(r.remote, sourceKey{oldest.source, oldest.epoch})
	r.refreshAll(oldest)
	return true
}

func (r *Registry) mergeEntries(now time.Time, l *list, m *wasabistandv1.MemberSync) error {
	var first error
	touched := make(map[string]struct{})
	if m.GetFull() {
		for id := range l.entries {
			touched[id] = struct{}{}
		}
		l.entries, l.digest = make(map[string]*entry), 0
	}
	for _, u := range m.GetUpserts() {
		e, err := r.entryOf(now, u)
		if err == nil && len(l.entries) >= r.options.maxInstances && l.entries[u.GetId()] == nil {
			err = ErrFull.New("%d instances of %s, allowed are %d", len(l.entries), l.source, r.options.maxInstances)
		}
		if err != nil {
			if first == nil {
				first = err
			}
			continue
		}
		l.put(e)
		touched[u.GetId()] = struct{}{}
	}
	for _, id := range m.GetRemoves() {
		l.remove(id)
		touched[id] = struct{}{}
	}
	for _, h := range m.GetRevisions() {
		for _, id := range h.GetInstances() {
			if e := l.entries[id]; e != nil {
				e.instance.RevisionInForce = h.GetRevision()
				l.changed(e)
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(touched)) {
		r.yield(id, l)
		r.refresh(id)
	}
	return first
}

// yield gives up an instance of the own list that has moved to another source.
func (r *Registry) yield(id string, l *list) {
	own, other := r.local.entries[id], l.entries[id]
	if own == nil || other == nil {
		return
	}
	c := compareAnnounced(other.instance, own.instance)
	if c > 0 || (c == 0 && !own.connected && other.state >= leaseLate) {
		r.local.remove(id)
		r.dirty[id] = struct{}{}
	}
}
