package wasabidisk_test

import (
	"math/rand/v2"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/internal/wasabifault"
	"github.com/wasabistand/wasabistand/wasabidisk"
)

// drawFault makes some operations fail, for some calls or until the fault ends.
func (d *storeModel) drawFault(t *rapid.T) {
	d.fs.Inject(wasabifault.Fault{
		Err:        rapid.SampledFrom([]error{syscall.ENOSPC, syscall.EDQUOT, syscall.EIO}).Draw(t, "error"),
		Operations: rapid.SliceOfNDistinct(rapid.SampledFrom(wasabifault.Operations), 1, -1, rapid.ID).Draw(t, "operations"),
		After:      rapid.IntRange(0, 4).Draw(t, "after"),
		Count:      rapid.IntRange(0, 3).Draw(t, "count"),
	})
}

// openWhileRefused opens the store, and ends the fault once it was refused often
// enough.
func (d *storeModel) openWhileRefused(t rapid.TB) {
	for range 4 {
		var err error
		if d.folder, err = wasabidisk.Open(d.fs, "/data", "test"); err == nil {
			if d.store, err = d.folder.Group("root", wasabidisk.Options{}.WithSegmentBytes(d.segmentBytes)); err == nil {
				d.fs.Inject(wasabifault.Fault{})
				return
			}
			assert.NilError(t, d.folder.Close())
		}
		assert.Assert(t, wasabidisk.IsTemporary(err), "%v", err)
		if d.refusedOpens++; d.refusedOpens%3 == 0 {
			d.fs.Inject(wasabifault.Fault{})
		}
	}
	t.Fatalf("the store does not open after the fault ended")
}

// underFault makes a call that leads to the next state while the disk refuses
// operations. Whatever the call and its retries return must be true after the end
// of the process, after a crash, or once the disk accepts everything again.
func (d *storeModel) underFault(t *rapid.T, next storeState, call func() error) {
	d.drawFault(t)
	err := call()
	for range rapid.IntRange(0, 3).Draw(t, "retries") {
		if err != nil {
			assert.Assert(t, wasabidisk.IsTemporary(err), "%v", err)
			err = call()
		}
	}
	if err == nil {
		d.fs.Inject(wasabifault.Fault{})
		d.durable = next
		return
	}
	assert.Assert(t, wasabidisk.IsTemporary(err), "%v", err)
	d.uncertain = append(d.uncertain, next)
	switch rapid.IntRange(0, 3).Draw(t, "end") {
	case 0:
		d.fs.Inject(wasabifault.Fault{})
		d.crash(t)
	case 1:
		d.crash(t)
	case 2:
		d.killProcess(t)
	default:
		d.fs.Inject(wasabifault.Fault{})
		assert.NilError(t, call())
		d.durable, d.uncertain = next, nil
	}
}

func (d *storeModel) saveRefused(t *rapid.T) {
	h, list := d.drawBatch(t)
	d.underFault(t, d.durable.withBatch(h, list), func() error { return d.store.Save(h, list) })
}

// saveWithFailedSync makes one sync of a save fail. What is saved instead of the
// batch whose sync failed must be durable.
func (d *storeModel) saveWithFailedSync(t *rapid.T) {
	h, list := d.drawBatch(t)
	d.fs.FailSyncs(rapid.IntRange(0, 2).Draw(t, "pass"), 1)
	err := d.store.Save(h, list)
	d.fs.FailSyncs(0, 0)
	if err == nil {
		d.durable = d.durable.withBatch(h, list)
		return
	}
	assert.Assert(t, wasabidisk.ErrFailed.Has(err), "%v", err)
	switch rapid.IntRange(0, 2).Draw(t, "end") {
	case 0:
		d.uncertain = append(d.uncertain, d.durable.withBatch(h, list))
		d.crash(t)
	case 1:
		d.uncertain = append(d.uncertain, d.durable.withBatch(h, list))
		d.killProcess(t)
	default:
		d.save(t)
	}
	d.crash(t)
}

func (d *storeModel) snapshotRefused(t *rapid.T) {
	m := d.durable
	to := m.hard.GetCommitIndex()
	if to <= m.snapshot {
		return
	}
	n := &wasabistandv1.LogSnapshot{Index: to, Term: m.entries[to-m.snapshot-1].GetTerm(), State: []byte("state")}
	next := storeState{hard: m.hard, snapshot: to, entries: m.entries[to-m.snapshot:]}
	d.underFault(t, next, func() error {
		if err := d.store.SaveSnapshot(n); err != nil {
			return err
		}
		return d.store.Compact(to)
	})
}

func (d *storeModel) installRefused(t *rapid.T) {
	to := d.durable.last() + uint64(rapid.IntRange(1, 50).Draw(t, "ahead"))
	n := &wasabistandv1.LogSnapshot{Index: to, Term: max(d.durable.hard.GetTerm(), 1)}
	d.underFault(t, storeState{hard: d.durable.hard, snapshot: to}, func() error {
		if err := d.store.SaveSnapshot(n); err != nil {
			return err
		}
		return d.store.Reset(n.GetIndex(), n.GetTerm())
	})
}

// TestStoreOutlastsRefusals guards against a store that refuses writes for good, or
// loses one that it reported, after an error of the disk that has passed.
func TestStoreOutlastsRefusals(t *testing.T) {
	for _, err := range []error{syscall.ENOSPC, syscall.EDQUOT, syscall.EIO} {
		for _, o := range wasabifault.Operations {
			for after := range 6 {
				d := &storeModel{fs: wasabifault.New(), segmentBytes: 100}
				d.open(t)
				d.fs.Inject(wasabifault.Fault{Err: err, Operations: []wasabifault.Operation{o}, After: after, Count: 2})
				for i := uint64(1); i <= 8; i++ {
					h := &wasabistandv1.HardState{Term: 1, CommitIndex: i}
					e := []*wasabistandv1.LogEntry{{Index: i, Term: 1, Data: make([]byte, 40)}}
					retry(t, func() error { return d.store.Save(h, e) })
					d.durable = d.durable.withBatch(h, e)
					if i == 4 {
						n := &wasabistandv1.LogSnapshot{Index: i, Term: 1}
						retry(t, func() error { return d.store.SaveSnapshot(n) })
						retry(t, func() error { return d.store.Compact(i) })
						d.durable = storeState{hard: h, snapshot: i}
					}
				}
				d.fs.Crash(rand.New(rand.NewPCG(uint64(after), 0)))
				d.open(t)
			}
		}
	}
}

// retry makes a call again while the disk refuses it, at most as often as the
// fault lasts.
func retry(t *testing.T, call func() error) {
	t.Helper()
	err := call()
	for range 2 {
		if err != nil {
			assert.Assert(t, wasabidisk.IsTemporary(err), "%v", err)
			err = call()
		}
	}
	assert.NilError(t, err)
}

// TestCompactionMakesRoom guards against a store that can't remove old segments because the disk is so full that it takes no batch.
func TestCompactionMakesRoom(t *testing.T) {
	d := &storeModel{fs: wasabifault.New(), segmentBytes: 100}
	d.open(t)
	save := func(i uint64) error {
		h := &wasabistandv1.HardState{Term: 1, CommitIndex: i}
		return d.store.Save(h, []*wasabistandv1.LogEntry{{Index: i, Term: 1, Data: make([]byte, 40)}})
	}
	for i := uint64(1); i <= 20; i++ {
		assert.NilError(t, save(i))
	}
	assert.NilError(t, d.store.SaveSnapshot(&wasabistandv1.LogSnapshot{Index: 20, Term: 1}))
	d.fs.SetCapacity(d.fs.Used())
	assert.Assert(t, wasabidisk.ErrFull.Has(save(21)))
	assert.NilError(t, d.store.Compact(20))
	assert.NilError(t, save(21))
}

// TestStoreOpensOnFullDisk guards against a store that can't be opened, and so not compacted, on a disk that its own log has filled.
func TestStoreOpensOnFullDisk(t *testing.T) {
	fs := wasabifault.New()
	f, err := wasabidisk.Open(fs, "/data", "test")
	assert.NilError(t, err)
	s, err := f.Group("root", wasabidisk.Options{}.WithSegmentBytes(400))
	assert.NilError(t, err)
	for i := uint64(1); i <= 40; i++ {
		assert.NilError(t, s.Save(&wasabistandv1.HardState{Term: 1}, []*wasabistandv1.LogEntry{{Index: i, Term: 1, Data: make([]byte, 50)}}))
	}
	assert.NilError(t, s.SaveSnapshot(&wasabistandv1.LogSnapshot{Index: 35, Term: 1}))
	assert.NilError(t, f.Close())
	fs.SetCapacity(fs.Used())
	f, err = wasabidisk.Open(fs, "/data", "test")
	assert.NilError(t, err)
	s, err = f.Group("root", wasabidisk.Options{}.WithSegmentBytes(400))
	assert.NilError(t, err)
	assert.NilError(t, s.Compact(35))
}
