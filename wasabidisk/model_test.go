package wasabidisk_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/internal/wasabifault"
	_ "github.com/wasabistand/wasabistand/internal/wasabiseed"
	"github.com/wasabistand/wasabistand/wasabidisk"
)

// image is what a store must hold.
type image struct {
	hard     *wasabistandv1.HardState
	snapshot uint64
	entries  []*wasabistandv1.LogEntry // after the snapshot
}

func (m image) last() uint64 { return m.snapshot + uint64(len(m.entries)) }

func (m image) with(h *wasabistandv1.HardState, list []*wasabistandv1.LogEntry) image {
	if len(list) > 0 {
		m.entries = append(slices.Clone(m.entries[:list[0].GetIndex()-m.snapshot-1]), list...)
	}
	if h != nil {
		m.hard = h
	}
	return m
}

// text shows all that counts of an image.
func (m image) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d/%s/%d s%d", m.hard.GetTerm(), m.hard.GetVotedFor(), m.hard.GetCommitIndex(), m.snapshot)
	for _, e := range m.entries {
		fmt.Fprintf(&b, " %d:%d:%x", e.GetIndex(), e.GetTerm(), e.GetData())
	}
	return b.String()
}

// held returns the image of an open store.
func held(s *wasabidisk.Store) image {
	x := s.State()
	return image{hard: x.HardState, snapshot: x.Snapshot.GetIndex(), entries: x.Entries}
}

// disk is a store with its model. durable is what was reported as written;
// maybe are the states that writes without a good answer may have left.
type disk struct {
	fs      *wasabifault.Memory
	folder  *wasabidisk.Folder
	store   *wasabidisk.Store
	durable image
	maybe   []image
	size    int64
}

func (d *disk) open(t rapid.TB) {
	var err error
	d.folder, err = wasabidisk.Open(d.fs, "/data", "test")
	assert.NilError(t, err)
	d.store, err = d.folder.Group("root", wasabidisk.Options{}.WithSegmentBytes(d.size))
	assert.NilError(t, err)
	got := held(d.store).text()
	for _, m := range append([]image{d.durable}, d.maybe...) {
		if m.text() == got {
			d.durable, d.maybe = m, nil
			return
		}
	}
	t.Fatalf("the store holds %s\nwritten was %s\nand perhaps %d other states", got, d.durable.text(), len(d.maybe))
}

func (d *disk) draw(t *rapid.T) (*wasabistandv1.HardState, []*wasabistandv1.LogEntry) {
	commit := max(d.durable.hard.GetCommitIndex(), d.durable.snapshot)
	from := d.durable.last() + 1
	if from > commit+1 && rapid.IntRange(0, 3).Draw(t, "replace") == 0 {
		from = rapid.Uint64Range(commit+1, from).Draw(t, "from")
	}
	term := max(d.durable.hard.GetTerm(), 1) + uint64(rapid.IntRange(0, 5).Draw(t, "term")/5)
	var list []*wasabistandv1.LogEntry
	for i := range rapid.IntRange(0, 4).Draw(t, "entries") {
		data := rapid.SliceOfN(rapid.Byte(), 0, 700).Draw(t, "data")
		list = append(list, &wasabistandv1.LogEntry{Index: from + uint64(i), Term: term, Data: data})
	}
	m := d.durable.with(nil, list)
	h := &wasabistandv1.HardState{Term: term, VotedFor: "x", CommitIndex: rapid.Uint64Range(commit, max(commit, m.last())).Draw(t, "commit")}
	return h, list
}

func (d *disk) save(t *rapid.T) {
	h, list := d.draw(t)
	assert.NilError(t, d.store.Save(h, list))
	d.durable = d.durable.with(h, list)
}

// saveFails lets any of the syncs of a save fail; the store must report it,
// refuse what follows, and hold the old or the new state after a crash.
func (d *disk) saveFails(t *rapid.T) {
	h, list := d.draw(t)
	d.fs.FailSyncs(rapid.IntRange(0, 2).Draw(t, "pass"), 1)
	err := d.store.Save(h, list)
	d.fs.FailSyncs(0, 0)
	if err == nil {
		d.durable = d.durable.with(h, list)
		return
	}
	assert.Assert(t, wasabidisk.ErrFailed.Has(err), "%v", err)
	d.maybe = append(d.maybe, d.durable.with(h, list))
	assert.Assert(t, wasabidisk.ErrFailed.Has(d.store.Save(h, list)))
	assert.Assert(t, wasabidisk.ErrFailed.Has(d.store.Compact(1)))
	d.crash(t)
}

// saveFull fills the disk; the same save must succeed once there is room.
func (d *disk) saveFull(t *rapid.T) {
	h, list := d.draw(t)
	d.fs.SetCapacity(d.fs.Used() + rapid.IntRange(0, 60).Draw(t, "room"))
	err := d.store.Save(h, list)
	d.fs.SetCapacity(0)
	if err != nil {
		assert.Assert(t, wasabidisk.ErrFull.Has(err), "%v", err)
		if rapid.Bool().Draw(t, "crash") {
			d.crash(t)
			return
		}
		assert.NilError(t, d.store.Save(h, list))
	}
	d.durable = d.durable.with(h, list)
}

func (d *disk) snapshot(t *rapid.T) {
	m := d.durable
	to := m.hard.GetCommitIndex()
	if to <= m.snapshot {
		return
	}
	n := &wasabistandv1.LogSnapshot{Index: to, Term: m.entries[to-m.snapshot-1].GetTerm(), State: []byte("state")}
	assert.NilError(t, d.store.SaveSnapshot(n))
	d.durable = image{hard: m.hard, snapshot: to, entries: m.entries[to-m.snapshot:]}
	if rapid.Bool().Draw(t, "compact") {
		assert.NilError(t, d.store.Compact(to))
	}
}

// install replaces the log by a snapshot from elsewhere.
func (d *disk) install(t *rapid.T) {
	to := d.durable.last() + uint64(rapid.IntRange(1, 50).Draw(t, "ahead"))
	n := &wasabistandv1.LogSnapshot{Index: to, Term: max(d.durable.hard.GetTerm(), 1)}
	assert.NilError(t, d.store.SaveSnapshot(n))
	d.durable = image{hard: d.durable.hard, snapshot: to}
	if rapid.IntRange(0, 3).Draw(t, "crash") == 0 {
		d.crash(t)
		return
	}
	assert.NilError(t, d.store.Reset(n.GetIndex(), n.GetTerm()))
}

func (d *disk) crash(t *rapid.T) {
	d.fs.Crash(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)))
	d.open(t)
}

func (d *disk) reopen(t *rapid.T) {
	assert.NilError(t, d.folder.Close())
	d.open(t)
}

// TestStoreModel guards against losing what was reported as written, and
// against a crash that leaves a store that can't be opened.
func TestStoreModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &disk{fs: wasabifault.New(), size: int64(rapid.IntRange(200, 4000).Draw(t, "segment"))}
		d.open(t)
		t.Repeat(map[string]func(*rapid.T){
			"save": d.save, "saveAgain": d.save, "saveFails": d.saveFails, "saveFull": d.saveFull,
			"snapshot": d.snapshot, "install": d.install, "crash": d.crash, "reopen": d.reopen,
		})
	})
}

// filled returns a closed folder with several segments and a snapshot, and
// the images before and after its last batch.
func filled(t rapid.TB) (fs *wasabifault.Memory, before, after image) {
	d := &disk{fs: wasabifault.New(), size: 600}
	d.open(t)
	for i := uint64(1); i <= 40; i++ {
		h := &wasabistandv1.HardState{Term: 1, CommitIndex: i}
		e := []*wasabistandv1.LogEntry{{Index: i, Term: 1, Data: fmt.Append(nil, "command ", i)}}
		assert.NilError(t, d.store.Save(h, e))
		before, d.durable = d.durable, d.durable.with(h, e)
		if i == 20 {
			assert.NilError(t, d.store.SaveSnapshot(&wasabistandv1.LogSnapshot{Index: i, Term: 1, State: []byte("state")}))
			assert.NilError(t, d.store.Compact(i))
			d.durable = image{hard: h, snapshot: i}
		}
	}
	// A crash, not a close: the last batch has no later one behind it.
	d.fs.Crash(rand.New(rand.NewPCG(1, 1)))
	return d.fs, before, d.durable
}

func files(t rapid.TB, fs *wasabifault.Memory) []string {
	names, err := fs.ReadDir("/data/groups/root")
	assert.NilError(t, err)
	list := []string{"/data/identity"}
	for _, name := range names {
		list = append(list, "/data/groups/root/"+name)
	}
	return list
}

func openAll(fs wasabidisk.FS) (*wasabidisk.Store, error) {
	f, err := wasabidisk.Open(fs, "/data", "test")
	if err != nil {
		return nil, err
	}
	return f.Group("root", wasabidisk.Options{})
}

// TestDamage flips one bit anywhere: the folder must be refused with file and
// offset, or the damage must lie in the last batch, which can't be told from a
// batch that was never synced, and be reported.
func TestDamage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fs, before, _ := filled(t)
		name := rapid.SampledFrom(files(t, fs)).Draw(t, "file")
		fs.Edit(name, func(b []byte) []byte {
			b[rapid.IntRange(0, len(b)-1).Draw(t, "offset")] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
			return b
		})
		s, err := openAll(fs)
		if err != nil {
			var where *wasabidisk.CorruptError
			assert.Assert(t, wasabidisk.ErrCorrupt.Has(err) && errors.As(err, &where), "%v", err)
			assert.Equal(t, where.File, name)
			return
		}
		assert.Assert(t, s.State().Torn != nil)
		assert.Equal(t, held(s).text(), before.text())
	})
}

// TestMissingFile guards against starting from a copy in which one file is
// missing or empty.
func TestMissingFile(t *testing.T) {
	fs, _, _ := filled(t)
	for _, name := range files(t, fs) {
		for _, empty := range []bool{false, true} {
			fs, _, _ := filled(t)
			if empty {
				fs.Edit(name, func([]byte) []byte { return nil })
			} else {
				assert.NilError(t, fs.Remove(name))
			}
			_, err := openAll(fs)
			assert.Check(t, wasabidisk.ErrIncomplete.Has(err) || wasabidisk.ErrCorrupt.Has(err), "%s empty=%v: %v", name, empty, err)
		}
	}
}

// TestRefusals guards against using a folder that is not ours to write.
func TestRefusals(t *testing.T) {
	fs, _, _ := filled(t)
	_, err := wasabidisk.Open(fs, "/data", "other")
	assert.Check(t, wasabidisk.ErrOtherCluster.Has(err), "%v", err)

	fs.SetReadOnly(true)
	_, err = openAll(fs)
	assert.Check(t, wasabidisk.ErrReadOnly.Has(err), "%v", err)
	fs.SetReadOnly(false)

	f, err := wasabidisk.Open(fs, "/data", "test")
	assert.NilError(t, err)
	_, err = wasabidisk.Open(fs, "/data", "test")
	assert.Check(t, wasabidisk.ErrLocked.Has(err), "%v", err)
	assert.NilError(t, f.Close())

	for _, name := range files(t, fs) {
		fs, _, _ := filled(t)
		fs.Edit(name, wasabidisk.NewerFormat)
		_, err = openAll(fs)
		assert.Check(t, wasabidisk.ErrNewerFormat.Has(err), "%s: %v", name, err)
	}

	fs, _, _ = filled(t)
	fs.Edit("/data/identity", func([]byte) []byte { return nil })
	_, err = openAll(fs)
	assert.Check(t, wasabidisk.ErrIncomplete.Has(err), "%v", err)
}

// TestIdentityKept guards against a storage identity that changes, or that is
// shared by two folders.
func TestIdentityKept(t *testing.T) {
	one, two := wasabifault.New(), wasabifault.New()
	var seen []string
	for _, fs := range []*wasabifault.Memory{one, one, two} {
		f, err := wasabidisk.Open(fs, "/data", "test")
		assert.NilError(t, err)
		seen = append(seen, f.Identity().Storage)
		assert.NilError(t, f.Close())
	}
	assert.Equal(t, seen[0], seen[1])
	assert.Assert(t, seen[0] != seen[2])
}

// TestLargeSnapshot guards against a state that does not fit one record.
func TestLargeSnapshot(t *testing.T) {
	f, err := wasabidisk.Open(wasabidisk.OS{}, t.TempDir(), "test")
	assert.NilError(t, err)
	s, err := f.Group("root", wasabidisk.Options{})
	assert.NilError(t, err)
	n := &wasabistandv1.LogSnapshot{Index: 7, Term: 2, State: make([]byte, 20<<20)}
	n.State[len(n.State)-1] = 9
	assert.NilError(t, s.SaveSnapshot(n))
	assert.NilError(t, s.Reset(7, 2))
	assert.NilError(t, s.Close())
	s, err = f.Group("root", wasabidisk.Options{})
	assert.NilError(t, err)
	assert.Assert(t, proto.Equal(s.State().Snapshot, n))
	assert.NilError(t, f.Close())
}

// TestTermOfCutBatch guards against a term that is forgotten again after it
// was read from a batch that was cut off.
func TestTermOfCutBatch(t *testing.T) {
	for seed := range uint64(20) {
		fs := wasabifault.New()
		s, err := openAll(fs)
		assert.NilError(t, err)
		fs.FailSyncs(0, 1)
		_ = s.Save(&wasabistandv1.HardState{Term: 3}, []*wasabistandv1.LogEntry{{Index: 1, Term: 3}})
		fs.Crash(rand.New(rand.NewPCG(seed, 0)))
		s, err = openAll(fs)
		assert.NilError(t, err)
		term := s.State().HardState.GetTerm()
		assert.NilError(t, s.SaveSnapshot(&wasabistandv1.LogSnapshot{Index: 9, Term: 3}))
		assert.NilError(t, s.Reset(9, 3))
		fs.Crash(rand.New(rand.NewPCG(seed, 0)))
		s, err = openAll(fs)
		assert.NilError(t, err)
		assert.Equal(t, s.State().HardState.GetTerm(), term)
	}
}

// TestFullWhileRolling guards against a store that stays unusable because the
// disk was full in the middle of starting a segment.
func TestFullWhileRolling(t *testing.T) {
	for room := range 200 {
		fs := wasabifault.New()
		f, err := wasabidisk.Open(fs, "/data", "test")
		assert.NilError(t, err)
		s, err := f.Group("root", wasabidisk.Options{}.WithSegmentBytes(10))
		assert.NilError(t, err)
		h := &wasabistandv1.HardState{Term: 1}
		fs.SetCapacity(fs.Used() + room)
		if err := s.Save(h, nil); err != nil {
			assert.Assert(t, wasabidisk.ErrFull.Has(err), "%v", err)
		}
		fs.SetCapacity(0)
		assert.NilError(t, s.Save(h, nil))
		assert.NilError(t, f.Close())
		_, err = openAll(fs)
		assert.NilError(t, err)
	}
}

// TestHardStateOutlivesCutHeader guards against a vote that is forgotten: the
// copy of the hard state at the start of a segment was cut off, and the older
// segments were then compacted.
func TestHardStateOutlivesCutHeader(t *testing.T) {
	for seed := range uint64(200) {
		fs := wasabifault.New()
		f, err := wasabidisk.Open(fs, "/data", "test")
		assert.NilError(t, err)
		s, err := f.Group("root", wasabidisk.Options{}.WithSegmentBytes(10))
		assert.NilError(t, err)
		h := &wasabistandv1.HardState{Term: 1, VotedFor: strings.Repeat("x", 1500)}
		assert.NilError(t, s.Save(h, nil))
		fs.FailSyncs(0, 1)
		_ = s.Save(&wasabistandv1.HardState{Term: 2}, nil)
		fs.Crash(rand.New(rand.NewPCG(seed, 0)))
		s, err = openAll(fs)
		assert.NilError(t, err)
		assert.NilError(t, s.SaveSnapshot(&wasabistandv1.LogSnapshot{Index: 9, Term: 1}))
		assert.NilError(t, s.Reset(9, 1))
		assert.NilError(t, s.Compact(9))
		fs.Crash(rand.New(rand.NewPCG(seed, 1)))
		s, err = openAll(fs)
		assert.NilError(t, err)
		assert.Equal(t, s.State().HardState.GetTerm(), uint64(1))
	}
}
