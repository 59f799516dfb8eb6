package wasabidisk_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/internal/wasabifault"
	_ "github.com/wasabistand/wasabistand/internal/wasabiseed"
	"github.com/wasabistand/wasabistand/wasabidisk"
)

// storeState is the expected content of a store.
type storeState struct {
	hard     *wasabistandv1.HardState
	snapshot uint64
	entries  []*wasabistandv1.LogEntry // after the snapshot
}

func (m storeState) last() uint64 { return m.snapshot + uint64(len(m.entries)) }

func (m storeState) withBatch(h *wasabistandv1.HardState, list []*wasabistandv1.LogEntry) storeState {
	if len(list) > 0 {
		m.entries = append(slices.Clone(m.entries[:list[0].GetIndex()-m.snapshot-1]), list...)
	}
	if h != nil {
		m.hard = h
	}
	return m
}

// format returns all compared values as text.
func (m storeState) format() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d/%s/%d s%d", m.hard.GetTerm(), m.hard.GetVotedFor(), m.hard.GetCommitIndex(), m.snapshot)
	for _, e := range m.entries {
		fmt.Fprintf(&b, " %d:%d:%x", e.GetIndex(), e.GetTerm(), e.GetData())
	}
	return b.String()
}

// stateOf returns the state with which a store was opened.
func stateOf(s *wasabidisk.Store) storeState {
	x := s.State()
	return storeState{hard: x.HardState, snapshot: x.Snapshot.GetIndex(), entries: x.Entries}
}

// storeModel compares a store with its expected state. durable is the state that
// was reported as written; uncertain are the states that failed writes may have
// left.
type storeModel struct {
	fs           *wasabifault.Memory
	folder       *wasabidisk.Folder
	store        *wasabidisk.Store
	durable      storeState
	uncertain    []storeState
	segmentBytes int64
	refusedOpens int
}

// open opens the store and checks that it holds the durable state or one of the
// uncertain ones.
func (d *storeModel) open(t rapid.TB) {
	d.openWhileRefused(t)
	got := stateOf(d.store).format()
	for _, m := range append([]storeState{d.durable}, d.uncertain...) {
		if m.format() == got {
			d.durable, d.uncertain = m, nil
			return
		}
	}
	t.Fatalf("store state: %s\nwant: %s\nor one of %d uncertain states", got, d.durable.format(), len(d.uncertain))
}

// drawBatch draws a hard state and entries that may replace uncommitted ones.
func (d *storeModel) drawBatch(t *rapid.T) (*wasabistandv1.HardState, []*wasabistandv1.LogEntry) {
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
	m := d.durable.withBatch(nil, list)
	h := &wasabistandv1.HardState{Term: term, VotedFor: "x", CommitIndex: rapid.Uint64Range(commit, max(commit, m.last())).Draw(t, "commit")}
	return h, list
}

func (d *storeModel) save(t *rapid.T) {
	h, list := d.drawBatch(t)
	assert.NilError(t, d.store.Save(h, list))
	d.durable = d.durable.withBatch(h, list)
}

// saveOnFullDisk fills the disk during a save. The same save must succeed once
// space is available.
func (d *storeModel) saveOnFullDisk(t *rapid.T) {
	h, list := d.drawBatch(t)
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
	d.durable = d.durable.withBatch(h, list)
}

func (d *storeModel) saveSnapshot(t *rapid.T) {
	m := d.durable
	to := m.hard.GetCommitIndex()
	if to <= m.snapshot {
		return
	}
	n := &wasabistandv1.LogSnapshot{Index: to, Term: m.entries[to-m.snapshot-1].GetTerm(), State: []byte("state")}
	assert.NilError(t, d.store.SaveSnapshot(n))
	d.durable = storeState{hard: m.hard, snapshot: to, entries: m.entries[to-m.snapshot:]}
	if rapid.Bool().Draw(t, "compact") {
		assert.NilError(t, d.store.Compact(to))
	}
}

// installSnapshot replaces the log by a snapshot of another replica.
func (d *storeModel) installSnapshot(t *rapid.T) {
	to := d.durable.last() + uint64(rapid.IntRange(1, 50).Draw(t, "ahead"))
	n := &wasabistandv1.LogSnapshot{Index: to, Term: max(d.durable.hard.GetTerm(), 1)}
	assert.NilError(t, d.store.SaveSnapshot(n))
	d.durable = storeState{hard: d.durable.hard, snapshot: to}
	if rapid.IntRange(0, 3).Draw(t, "crash") == 0 {
		d.crash(t)
		return
	}
	assert.NilError(t, d.store.Reset(n.GetIndex(), n.GetTerm()))
}

func (d *storeModel) crash(t *rapid.T) {
	d.fs.Crash(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)))
	d.open(t)
}

// killProcess ends the process while the machine runs on.
func (d *storeModel) killProcess(t *rapid.T) {
	d.fs.Kill()
	d.open(t)
}

func (d *storeModel) reopen(t *rapid.T) {
	assert.NilError(t, d.folder.Close())
	d.open(t)
}

// TestStoreModel guards against losing data that was reported as written, and
// against a crash that leaves a store that can't be opened.
func TestStoreModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &storeModel{fs: wasabifault.New(), segmentBytes: int64(rapid.IntRange(200, 4000).Draw(t, "segment"))}
		d.drawFault(t)
		d.open(t)
		t.Repeat(map[string]func(*rapid.T){
			"save": d.save, "saveAgain": d.save, "saveFails": d.saveWithFailedSync, "saveFull": d.saveOnFullDisk,
			"saveRefused": d.saveRefused, "snapshotRefused": d.snapshotRefused, "installRefused": d.installRefused,
			"snapshot": d.saveSnapshot, "install": d.installSnapshot, "crash": d.crash, "kill": d.killProcess, "reopen": d.reopen,
		})
	})
}
