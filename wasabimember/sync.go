package wasabimember

import (
	"maps"
	"slices"
	"time"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/wasabiwire"
)

// BuildSync returns a message for other control instances. Without full, it
// contains the changes since the last such message and must be sent to all of
// them: once a second, and at once when HasPendingChanges returns true. With
// full, it contains the whole local list and is sent to a control instance that
// has just connected.
func (r *Registry) BuildSync(now time.Time, full bool) *wasabistandv1.MemberSync {
	broadcast := !full
	if broadcast {
		r.local.sequence++
		full = r.fullRequested
		r.fullRequested = false
	}
	m := &wasabistandv1.MemberSync{
		Source: r.options.source, Epoch: r.options.epoch, Sequence: r.local.sequence,
		Digest: r.local.digest, Full: full, WantFull: slices.Sorted(maps.Keys(r.wantFull)),
	}
	if full {
		for _, id := range slices.Sorted(maps.Keys(r.local.entries)) {
			m.Upserts = append(m.Upserts, r.encodeEntry(now, r.local.entries[id]))
		}
	} else {
		r.addChanges(now, m)
	}
	if broadcast {
		clear(r.dirty)
		clear(r.dirtyRevisions)
	}
	return m
}

func (r *Registry) addChanges(now time.Time, m *wasabistandv1.MemberSync) {
	for _, id := range slices.Sorted(maps.Keys(r.dirty)) {
		if e := r.local.entries[id]; e != nil {
			m.Upserts = append(m.Upserts, r.encodeEntry(now, e))
		} else {
			m.Removes = append(m.Removes, id)
		}
	}
	byRevision := make(map[uint64][]string)
	for id := range r.dirtyRevisions {
		if _, isDirty := r.dirty[id]; isDirty {
			continue
		}
		if e := r.local.entries[id]; e != nil {
			byRevision[e.instance.AppliedRevision] = append(byRevision[e.instance.AppliedRevision], id)
		}
	}
	for _, revision := range slices.Sorted(maps.Keys(byRevision)) {
		slices.Sort(byRevision[revision])
		m.Revisions = append(m.Revisions, &wasabistandv1.RevisionHolders{Revision: revision, Instances: byRevision[revision]})
	}
}

// encodeEntry encodes an entry of the local list. The age of the lease encodes
// its state, see decodeEntry.
func (r *Registry) encodeEntry(now time.Time, e *entry) *wasabistandv1.Instance {
	m := wasabiwire.FromInstance(e.instance)
	m.Suspect = e.state == leaseSuspect
	var age time.Duration
	switch e.state {
	case leaseOverdue:
		age = min(max(now.Sub(e.renewedAt), r.options.overdueAge()), r.options.lease-time.Millisecond)
	case leaseSuspect, leaseExpired:
		age = r.options.lease + max(now.Sub(e.expiredAt), 0)
	}
	m.RenewedMsAgo = uint64(age.Milliseconds())
	return m
}

func (r *Registry) decodeEntry(now time.Time, m *wasabistandv1.Instance) (*entry, error) {
	i, err := wasabiwire.ToInstance(m)
	if err != nil {
		return nil, err
	}
	e := &entry{instance: i, state: leaseHeld}
	e.instance.Drained, e.instance.Suspect = false, false
	// The limit prevents an overflow by an invalid value of a faulty peer.
	age := time.Duration(min(m.GetRenewedMsAgo(), 1<<40)) * time.Millisecond
	switch {
	case age >= r.options.lease:
		e.state, e.expiredAt = leaseExpired, now.Add(r.options.lease-age)
		if i.Suspect {
			e.state = leaseSuspect
		}
	case age >= r.options.overdueAge():
		e.state = leaseOverdue
	}
	return e, nil
}

// Merge applies a message of another control instance. Messages may be lost,
// duplicated or late. Invalid entries are skipped and the first error is
// returned; the other entries are applied.
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
	l, err := r.remoteList(m)
	if err != nil {
		return err
	}
	if m.GetSequence() < l.sequence || (m.GetSequence() == l.sequence && !m.GetFull()) {
		return nil
	}
	if slices.Contains(m.GetWantFull(), r.options.source) {
		r.fullRequested = true
	}
	l.sequence, l.lastReceived = m.GetSequence(), now
	if l.timedOut {
		l.timedOut = false
		defer r.refreshAll(l)
	}
	err = r.mergeEntries(now, l, m)
	// A copy that lacks a change has a different digest and is repaired by
	// requesting the source's full list.
	if l.digest != m.GetDigest() {
		r.wantFull[l.source] = struct{}{}
	} else {
		delete(r.wantFull, l.source)
	}
	return err
}

// remoteList returns the copy of a source's list. Each process of a control
// instance has its own list. The list of an ended process is kept until it has
// timed out and suspectTimeout is over, because its instances are alive and
// will announce themselves, and its last messages may arrive after the first
// ones of the next process.
func (r *Registry) remoteList(m *wasabistandv1.MemberSync) (*memberList, error) {
	key := sourceKey{m.GetSource(), m.GetEpoch()}
	l := r.remote[key]
	if l == nil {
		if len(r.remote) >= maxSources && !r.evictOldest(key.source) {
			return nil, ErrFull.New("%d sources, allowed are %d", len(r.remote), maxSources)
		}
		l = newMemberList(key.source, key.epoch)
		r.remote[key] = l
	}
	return l, nil
}

// evictOldest removes the least recently updated list of a control instance, so
// that one that restarts repeatedly leaves room for others. It reports whether
// there was such a list.
func (r *Registry) evictOldest(source string) bool {
	var oldest *memberList
	for _, l := range r.remote {
		if l.source == source && (oldest == nil || l.lastReceived.Before(oldest.lastReceived)) {
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

func (r *Registry) mergeEntries(now time.Time, l *memberList, m *wasabistandv1.MemberSync) error {
	var first error
	touched := make(map[string]struct{})
	if m.GetFull() {
		for id := range l.entries {
			touched[id] = struct{}{}
		}
		l.entries, l.digest = make(map[string]*entry), 0
	}
	for _, u := range m.GetUpserts() {
		e, err := r.decodeEntry(now, u)
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
				e.instance.AppliedRevision = h.GetRevision()
				l.updateDigest(e)
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(touched)) {
		r.releaseMoved(id, l)
		r.refresh(id)
	}
	return first
}

// releaseMoved removes an instance from the local list if it has moved to
// another source.
func (r *Registry) releaseMoved(id string, l *memberList) {
	local, remote := r.local.entries[id], l.entries[id]
	if local == nil || remote == nil {
		return
	}
	c := compareAnnouncements(remote.instance, local.instance)
	if c > 0 || (c == 0 && !local.connected && remote.state >= leaseOverdue) {
		r.local.remove(id)
		r.dirty[id] = struct{}{}
	}
}
