package wasabimember

import (
	"cmp"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabistand/wasabistand"
)

// leaseState is the state of an instance's lease. A higher state is stronger
// evidence that the instance is alive.
type leaseState uint8

const (
	// leaseExpired instances are kept in the list of their source but are not
	// listed for nodes.
	leaseExpired leaseState = iota + 1
	// leaseSuspect instances expired in a mass expiry and stay listed.
	leaseSuspect
	// leaseOverdue instances missed renewals. They are listed like those with
	// a valid lease.
	leaseOverdue
	leaseHeld
)

// entry is an instance in the list of one source.
type entry struct {
	// instance is the announced instance, without Drained and Suspect.
	instance wasabistand.Instance
	state    leaseState
	// renewedAt is the time of the last renewal. Only set in the local list.
	renewedAt time.Time
	// expiredAt is when the lease expired, for expired and suspect entries.
	expiredAt time.Time
	// inMassExpiry is true if enough leases expired within one lease time to keep
	// the entry as suspect.
	inMassExpiry bool
	// connected is true while the session is open. Only set in the local list.
	connected bool
	digest    uint64
}

// memberList holds the instances whose leases are held by one source, a process
// of a control instance. Only that process changes it; other registries copy
// it. The copies of all sources together determine which instances are listed,
// so registries with the same copies list the same instances regardless of the
// order in which messages arrived.
type memberList struct {
	source       string
	epoch        uint64
	sequence     uint64
	lastReceived time.Time
	// timedOut is true if no message of the source arrived for a lease time.
	timedOut bool
	entries  map[string]*entry
	digest   uint64
}

func newMemberList(source string, epoch uint64) *memberList {
	return &memberList{source: source, epoch: epoch, entries: make(map[string]*entry)}
}

// put replaces or adds an entry.
func (l *memberList) put(e *entry) {
	l.remove(e.instance.ID)
	e.digest = e.computeDigest()
	l.digest ^= e.digest
	l.entries[e.instance.ID] = e
}

func (l *memberList) remove(id string) {
	if e := l.entries[id]; e != nil {
		l.digest ^= e.digest
		delete(l.entries, id)
	}
}

// updateDigest updates the digest after a change of an entry.
func (l *memberList) updateDigest(e *entry) {
	l.digest ^= e.digest
	e.digest = e.computeDigest()
	l.digest ^= e.digest
}

// effectiveState returns an entry's state. A lease that has not expired counts
// as suspect if its source timed out.
func (l *memberList) effectiveState(e *entry) leaseState {
	if l.timedOut && e.state > leaseSuspect {
		return leaseSuspect
	}
	return e.state
}

// computeDigest hashes the fields on which all copies of a list must agree.
func (e *entry) computeDigest() uint64 {
	var buffer [512]byte
	i := &e.instance
	b := appendIdentity(buffer[:0], i)
	for _, n := range []uint64{i.Incarnation, i.Sequence, uint64(i.Slots), uint64(i.Connections), i.AppliedRevision} {
		b = binary.AppendUvarint(b, n)
	}
	b = append(b, byte(i.State), byte(e.state))
	return xxhash.Sum64(b)
}

// appendIdentity appends the names and addresses of an instance.
func appendIdentity(b []byte, i *wasabistand.Instance) []byte {
	for _, s := range [...]string{i.ID, i.Service, i.LinkAddress, i.AdminAddress, i.Location.Region, i.Location.FailureDomain} {
		b = binary.AppendUvarint(b, uint64(len(s)))
		b = append(b, s...)
	}
	return b
}

// compareAnnouncements orders announcements of one instance.
func compareAnnouncements(a, b wasabistand.Instance) int {
	if c := cmp.Compare(a.Incarnation, b.Incarnation); c != 0 {
		return c
	}
	return cmp.Compare(a.Sequence, b.Sequence)
}

// bestEntry returns the entry with the highest announcement of an instance and
// the list that holds it, or a nil entry. Among equal announcements, the one
// with the highest state wins.
func (r *Registry) bestEntry(id string) (*entry, *memberList) {
	entry, holder := r.local.entries[id], r.local
	for _, l := range r.remote {
		if e := l.entries[id]; e != nil && (entry == nil || takesPrecedence(e, l, entry, holder)) {
			entry, holder = e, l
		}
	}
	return entry, holder
}

func takesPrecedence(a *entry, la *memberList, b *entry, lb *memberList) bool {
	if c := compareAnnouncements(a.instance, b.instance); c != 0 {
		return c > 0
	}
	if c := cmp.Compare(la.effectiveState(a), lb.effectiveState(b)); c != 0 {
		return c > 0
	}
	if c := cmp.Compare(la.source, lb.source); c != 0 {
		return c > 0
	}
	return la.epoch > lb.epoch
}
