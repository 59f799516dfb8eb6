package wasabidisk_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
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

// filledFolder returns a folder with several segments and a snapshot, closed by
// a crash, and the states before and after its last batch.
func filledFolder(t rapid.TB) (fs *wasabifault.Memory, before, after storeState) {
	d := &storeModel{fs: wasabifault.New(), segmentBytes: 600}
	d.open(t)
	for i := uint64(1); i <= 40; i++ {
		h := &wasabistandv1.HardState{Term: 1, CommitIndex: i}
		e := []*wasabistandv1.LogEntry{{Index: i, Term: 1, Data: fmt.Append(nil, "command ", i)}}
		assert.NilError(t, d.store.Save(h, e))
		before, d.durable = d.durable, d.durable.withBatch(h, e)
		if i == 20 {
			assert.NilError(t, d.store.SaveSnapshot(&wasabistandv1.LogSnapshot{Index: i, Term: 1, State: []byte("state")}))
			assert.NilError(t, d.store.Compact(i))
			d.durable = storeState{hard: h, snapshot: i}
		}
	}
	// Crash instead of closing, so that no later batch follows the last one.
	d.fs.Crash(rand.New(rand.NewPCG(1, 1)))
	return d.fs, before, d.durable
}

func dataFiles(t rapid.TB, fs *wasabifault.Memory) []string {
	names, err := fs.ReadDir("/data/groups/root")
	assert.NilError(t, err)
	list := []string{"/data/identity"}
	for _, name := range names {
		list = append(list, "/data/groups/root/"+name)
	}
	return list
}

func openStore(fs wasabidisk.FS) (*wasabidisk.Store, error) {
	f, err := wasabidisk.Open(fs, "/data", "test")
	if err != nil {
		return nil, err
	}
	return f.Group("root", wasabidisk.Options{})
}

// TestFlippedBitIsDetected flips one random bit. Opening the folder must fail
// with the file and offset, or the damage must be in the last batch, which can't
// be distinguished from a batch that was never synced, and be reported as torn.
func TestFlippedBitIsDetected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fs, before, _ := filledFolder(t)
		name := rapid.SampledFrom(dataFiles(t, fs)).Draw(t, "file")
		fs.Edit(name, func(b []byte) []byte {
			b[rapid.IntRange(0, len(b)-1).Draw(t, "offset")] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
			return b
		})
		s, err := openStore(fs)
		if err != nil {
			var corruptErr *wasabidisk.CorruptError
			assert.Assert(t, wasabidisk.ErrCorrupt.Has(err) && errors.As(err, &corruptErr), "%v", err)
			assert.Equal(t, corruptErr.File, name)
			return
		}
		assert.Assert(t, s.State().Torn != nil)
		assert.Equal(t, stateOf(s).format(), before.format())
	})
}

// TestMissingOrEmptyFileIsRefused guards against starting from a copy in which
// one file is missing or empty.
func TestMissingOrEmptyFileIsRefused(t *testing.T) {
	fs, _, _ := filledFolder(t)
	for _, name := range dataFiles(t, fs) {
		for _, empty := range []bool{false, true} {
			fs, _, _ := filledFolder(t)
			if empty {
				fs.Edit(name, func([]byte) []byte { return nil })
			} else {
				assert.NilError(t, fs.Remove(name))
			}
			_, err := openStore(fs)
			assert.Check(t, wasabidisk.ErrIncomplete.Has(err) || wasabidisk.ErrCorrupt.Has(err), "%s empty=%v: %v", name, empty, err)
		}
	}
}

// TestUnusableFolderIsRefused guards against opening a folder that belongs to
// another cluster, is read-only, is locked, has a newer format or lacks its
// identity.
func TestUnusableFolderIsRefused(t *testing.T) {
	fs, _, _ := filledFolder(t)
	_, err := wasabidisk.Open(fs, "/data", "other")
	assert.Check(t, wasabidisk.ErrOtherCluster.Has(err), "%v", err)

	fs.SetReadOnly(true)
	_, err = openStore(fs)
	assert.Check(t, wasabidisk.ErrReadOnly.Has(err), "%v", err)
	fs.SetReadOnly(false)

	f, err := wasabidisk.Open(fs, "/data", "test")
	assert.NilError(t, err)
	_, err = wasabidisk.Open(fs, "/data", "test")
	assert.Check(t, wasabidisk.ErrLocked.Has(err), "%v", err)
	assert.NilError(t, f.Close())

	for _, name := range dataFiles(t, fs) {
		fs, _, _ := filledFolder(t)
		fs.Edit(name, wasabidisk.NewerFormat)
		_, err = openStore(fs)
		assert.Check(t, wasabidisk.ErrNewerFormat.Has(err), "%s: %v", name, err)
	}

	fs, _, _ = filledFolder(t)
	fs.Edit("/data/identity", func([]byte) []byte { return nil })
	_, err = openStore(fs)
	assert.Check(t, wasabidisk.ErrIncomplete.Has(err), "%v", err)
}

// TestStorageIdentityIsStable guards against a storage identity that changes, or
// that is shared by two folders.
func TestStorageIdentityIsStable(t *testing.T) {
	one, two := wasabifault.New(), wasabifault.New()
	var storageIDs []string
	for _, fs := range []*wasabifault.Memory{one, one, two} {
		f, err := wasabidisk.Open(fs, "/data", "test")
		assert.NilError(t, err)
		storageIDs = append(storageIDs, f.Identity().Storage)
		assert.NilError(t, f.Close())
	}
	assert.Equal(t, storageIDs[0], storageIDs[1])
	assert.Assert(t, storageIDs[0] != storageIDs[2])
}

// TestSnapshotLargerThanRecordPart guards against losing a state that does not
// fit into one record.
func TestSnapshotLargerThanRecordPart(t *testing.T) {
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

// TestTermOfTruncatedBatchSurvivesReset guards against losing a term that was
// read from a batch of a failed save: the term returned when the store is opened
// must still be there after a snapshot, a reset and a second crash.
func TestTermOfTruncatedBatchSurvivesReset(t *testing.T) {
	for seed := range uint64(20) {
		fs := wasabifault.New()
		s, err := openStore(fs)
		assert.NilError(t, err)
		fs.FailSyncs(0, 1)
		_ = s.Save(&wasabistandv1.HardState{Term: 3}, []*wasabistandv1.LogEntry{{Index: 1, Term: 3}})
		fs.Crash(rand.New(rand.NewPCG(seed, 0)))
		s, err = openStore(fs)
		assert.NilError(t, err)
		term := s.State().HardState.GetTerm()
		assert.NilError(t, s.SaveSnapshot(&wasabistandv1.LogSnapshot{Index: 9, Term: 3}))
		assert.NilError(t, s.Reset(9, 3))
		fs.Crash(rand.New(rand.NewPCG(seed, 0)))
		s, err = openStore(fs)
		assert.NilError(t, err)
		assert.Equal(t, s.State().HardState.GetTerm(), term)
	}
}

// TestDiskFullDuringSegmentRoll guards against a store that stays unusable
// because the disk became full while a new segment was started.
func TestDiskFullDuringSegmentRoll(t *testing.T) {
	for freeBytes := range 200 {
		fs := wasabifault.New()
		f, err := wasabidisk.Open(fs, "/data", "test")
		assert.NilError(t, err)
		s, err := f.Group("root", wasabidisk.Options{}.WithSegmentBytes(10))
		assert.NilError(t, err)
		h := &wasabistandv1.HardState{Term: 1}
		fs.SetCapacity(fs.Used() + freeBytes)
		if err := s.Save(h, nil); err != nil {
			assert.Assert(t, wasabidisk.ErrFull.Has(err), "%v", err)
		}
		fs.SetCapacity(0)
		assert.NilError(t, s.Save(h, nil))
		assert.NilError(t, f.Close())
		_, err = openStore(fs)
		assert.NilError(t, err)
	}
}

// TestHardStateSurvivesTruncatedHeader guards against losing a vote: the copy of
// the hard state at the start of a segment was truncated, and the older segments
// were then compacted.
func TestHardStateSurvivesTruncatedHeader(t *testing.T) {
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
		s, err = openStore(fs)
		assert.NilError(t, err)
		assert.NilError(t, s.SaveSnapshot(&wasabistandv1.LogSnapshot{Index: 9, Term: 1}))
		assert.NilError(t, s.Reset(9, 1))
		assert.NilError(t, s.Compact(9))
		fs.Crash(rand.New(rand.NewPCG(seed, 1)))
		s, err = openStore(fs)
		assert.NilError(t, err)
		assert.Equal(t, s.State().HardState.GetTerm(), uint64(1))
	}
}
