package wasabimember

import (
	"cmp"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabistand/wasabistand"
)

// leaseState is how much is known of an instance's life, least first.
type leaseState uint8

const (
	// leaseLapsed instances are remembered and not listed.
	leaseLapsed leaseState = iota + 1
	// leaseSuspect instances ran out in a mass expiry and stay listed.
	leaseSuspect
	// leaseLate instances missed renewals and are listed like held ones.
	leaseLate
	leaseHeld
)

// entry is an instance in the list of one source.
type entry struct {
	// instance is as announced, without Drained and Suspect.
	instance wasabistand.Instance
	state    leaseState
	// renewed is the time of the last renewal, for the own list.
	renewed time.Time
	// lapsed is when the lease ran out, for lapsed and suspect entries.
	lapsed time.Time
	// confirmed says that enough leases ran out together to keep it suspect.
	confirmed bool
	// connected says that the session is open, for the own list.
	connected bool
	digest    uint64
}

// list holds the instances whose leases one process of a control instance
// holds. Only that process changes it; other registries copy it. The copies
// of all sources together decide what is listed, so registries that have the
// same copies list the same instances in whatever order messages came.
type list struct {
	source   string
	epoch    uint64
	sequence uint64
	heard    time.Time
	// silent says that the source was not heard of for a lease time.
	silent  bool
	entries map[string]*entry
	digest  uint64
}

func newList(source string, epoch uint64) *list {
	return &list{source: source, epoch: epoch, entries: make(map[string]*entry)}
}

// put replaces or adds an entry.
func (l *list) put(e *entry) {
	l.remove(e.instance.ID)
	e.digest = e.sum()
	l.digest ^= e.digest
	l.entries[e.instance.ID] = e
}

func (l *list) remove(id string) {
	if e := l.entries[id]; e != nil {
		l.digest ^= e.digest
		delete(l.entries, id)
	}
}

// changed updates the digest after a change of an entry.
func (l *list) changed(e *entry) {
	l.digest ^= e.digest
	e.digest = e.sum()
	l.digest ^= e.digest
}

// stateOf is an entry's state, given what is known of the source.
func (l *list) stateOf(e *entry) leaseState {
	if l.silent && e.state > leaseSuspect {
		return leaseSuspect
	}
	return e.state
}

// sum hashes what the sources' copies must agree on.
func (e *entry) sum() uint64 {
	var buffer [512]byte
	b := buffer[:0]
	i := &e.instance
	for _, s := range []string{i.ID, i.Service, i.LinkAddress, i.AdminAddress, i.Location.Region, i.Location.FailureDomain} {
		b = binary.AppendUvarint(b, uint64(len(s)))
		b = append(b, s...)
	}
	for _, n := range []uint64{i.Incarnation, i.Sequence, uint64(i.Slots), uint64(i.Connections), i.RevisionInForce} {
		b = binary.AppendUvarint(b, n)
	}
	b = append(b, byte(i.State), byte(e.state))
	return xxhash.Sum64(b)
}

// compareAnnounced orders announcements of one instance.
func compareAnnounced(a, b wasabistand.Instance) int {
	if c := cmp.Compare(a.Incarnation, b.Incarnation); c != 0 {
		return c
	}
	return cmp.Compare(a.Sequence, b.Sequence)
}

// best returns the entry that decides about an instance, nil for none: the
// highest announcement, and among equal ones the one most alive.
func (r *Registry) best(id string) (*entry, *list) {
	entry, holder := r.local.entries[id], r.local
	for _, l := range r.remote {
		if e := l.entries[id]; e != nil && (entry == nil || better(e, l, entry, holder)) {
			entry, holder = e, l
		}
	}
	return entry, holder
}

func better(a *entry, la *list, b *entry, lb *list) bool {
	if c := compareAnnounced(a.instance, b.instance); c != 0 {
		return c > 0
	}
	if c := cmp.Compare(la.stateOf(a), lb.stateOf(b)); c != 0 {
		return c > 0
	}
	if c := cmp.Compare(la.source, lb.source); c != 0 {
		return c > 0
	}
	return la.epoch > lb.epoch
}
