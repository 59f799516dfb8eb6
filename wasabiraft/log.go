package wasabiraft

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"
)

// memoryLog holds the entries of the log since the last compaction.
type memoryLog struct {
	baseIndex uint64 // index before the first entry
	baseTerm  uint64
	entries   []*entry
	commit    uint64
	applied   uint64 // last index returned by Ready as committed
	syncing   uint64 // last index returned by Ready for syncing
	synced    uint64
}

func (l *memoryLog) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

// term returns the term of an entry, and false if it is not in memory.
func (l *memoryLog) term(i uint64) (uint64, bool) {
	switch {
	case i == l.baseIndex:
		return l.baseTerm, true
	case i < l.baseIndex || i > l.lastIndex():
		return 0, false
	default:
		return l.entries[i-l.baseIndex-1].GetTerm(), true
	}
}

func (l *memoryLog) lastTerm() uint64 {
	t, _ := l.term(l.lastIndex())
	return t
}

// entriesFrom returns entries from index i up to last. It returns at least one
// entry and otherwise at most maxBytes.
func (l *memoryLog) entriesFrom(i, last uint64, maxBytes int) []*entry {
	if i <= l.baseIndex || i > last {
		return nil
	}
	all := l.entries[i-l.baseIndex-1 : last-l.baseIndex]
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

// entryOverheadBytes is the maximum encoded size of an entry without its data.
const entryOverheadBytes = 40

// append appends entries, which must directly follow the last one.
func (l *memoryLog) append(list ...*entry) { l.entries = append(l.entries, list...) }

// truncate drops all entries from index i on.
func (l *memoryLog) truncate(i uint64) {
	// The backing array may be shared with messages that are being sent, so it
	// must not be overwritten.
	n := i - l.baseIndex - 1
	l.entries = l.entries[:n:n]
	l.syncing, l.synced = min(l.syncing, i-1), min(l.synced, i-1)
}

// compact drops the entries up to and including index i.
func (l *memoryLog) compact(i uint64) {
	if i <= l.baseIndex {
		return
	}
	t, _ := l.term(i)
	l.entries = slices.Clone(l.entries[i-l.baseIndex:])
	l.baseIndex, l.baseTerm = i, t
}

// reset replaces the whole log by the position of a snapshot.
func (l *memoryLog) reset(i, term uint64) {
	*l = memoryLog{baseIndex: i, baseTerm: term, commit: i, applied: i, syncing: i, synced: i}
}

// memberList is a member list with the index of its log entry.
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
		return nil, Error.New("unmarshal member list: %v", err)
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
