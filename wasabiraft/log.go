package wasabiraft

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"
)

// memoryLog is the part of the log after the last compaction.
type memoryLog struct {
	base     uint64 // index before the first entry
	baseTerm uint64
	entries  []*entry
	commit   uint64
	applied  uint64 // handed out as committed
	saved    uint64 // handed out for syncing
	synced   uint64
}

func (l *memoryLog) last() uint64 { return l.base + uint64(len(l.entries)) }

// term returns the term of an entry, and false when it is not in memory.
func (l *memoryLog) term(i uint64) (uint64, bool) {
	switch {
	case i == l.base:
		return l.baseTerm, true
	case i < l.base || i > l.last():
		return 0, false
	default:
		return l.entries[i-l.base-1].GetTerm(), true
	}
}

func (l *memoryLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// from returns entries from index i up to last, bounded in bytes but at least
// one.
func (l *memoryLog) from(i, last uint64, maxBytes int) []*entry {
	if i <= l.base || i > last {
		return nil
	}
	all := l.entries[i-l.base-1 : last-l.base]
	n, size := 0, 0
	for n < len(all) {
		size += len(all[n].GetData()) + entryOverheadBytes
		if n > 0 && size > maxBytes {
			break
		}
		n++
	}
	return all[:n:n]
}

// entryOverheadBytes is the encoded size of an entry without its data, at
// most.
const entryOverheadBytes = 40

// append adds entries that follow the log.
func (l *memoryLog) append(list ...*entry) { l.entries = append(l.entries, list...) }

// truncate drops the entries from index i on.
func (l *memoryLog) truncate(i uint64) {
	// The array may be shared with messages on their way: it is not reused.
	n := i - l.base - 1
	l.entries = l.entries[:n:n]
	l.saved, l.synced = min(l.saved, i-1), min(l.synced, i-1)
}

// compact drops the entries up to index i.
func (l *memoryLog) compact(i uint64) {
	if i <= l.base {
		return
	}
	t, _ := l.term(i)
	l.entries = slices.Clone(l.entries[i-l.base:])
	l.base, l.baseTerm = i, t
}

// reset replaces the whole log by a snapshot's position.
func (l *memoryLog) reset(i, term uint64) {
	*l = memoryLog{base: i, baseTerm: term, commit: i, applied: i, saved: i, synced: i}
}

// memberList is a member list with the index of its entry.
type memberList struct {
	index uint64
	list  *members
}

func marshalMembers(m *members) ([]byte, error) {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	return b, Error.Wrap(err)
}

func unmarshalMembers(b []byte) (*members, error) {
	m := new(members)
	if err := proto.Unmarshal(b, m); err != nil {
		return nil, Error.New("member list: %v", err)
	}
	return m, nil
}

func findMember(m *members, id string) *member {
	for _, x := range m.GetMembers() {
		if x.GetId() == id {
			return x
		}
	}
	return nil
}

func sortMembers(m *members) {
	slices.SortFunc(m.Members, func(a, b *member) int { return cmp.Compare(a.GetId(), b.GetId()) })
}
