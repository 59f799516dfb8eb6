package wasabidisk_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/wasabidisk"
)

// BenchmarkReplay measures opening a store with many small records. The target
// is 100,000 records in under a second.
func BenchmarkReplay(b *testing.B) {
	for _, n := range []int{100, 10_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			dir := b.TempDir()
			f, err := wasabidisk.Open(wasabidisk.OS{}, dir, "test")
			assert.NilError(b, err)
			s, err := f.Group("root", wasabidisk.Options{})
			assert.NilError(b, err)
			var list []*wasabistandv1.LogEntry
			for i := range n {
				list = append(list, &wasabistandv1.LogEntry{Index: uint64(i + 1), Term: 1, Data: make([]byte, 100)})
				if len(list) == 50 {
					assert.NilError(b, s.Save(&wasabistandv1.HardState{Term: 1}, list))
					list = nil
				}
			}
			assert.NilError(b, f.Close())
			for b.Loop() {
				f, err := wasabidisk.Open(wasabidisk.OS{}, dir, "test")
				assert.NilError(b, err)
				s, err := f.Group("root", wasabidisk.Options{})
				assert.NilError(b, err)
				assert.Equal(b, len(s.State().Entries), n)
				assert.NilError(b, f.Close())
			}
		})
	}
}

// BenchmarkSave measures writing batches with one sync each.
func BenchmarkSave(b *testing.B) {
	for _, n := range []int{1, 100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f, err := wasabidisk.Open(wasabidisk.OS{}, b.TempDir(), "test")
			assert.NilError(b, err)
			s, err := f.Group("root", wasabidisk.Options{})
			assert.NilError(b, err)
			index := uint64(0)
			for b.Loop() {
				list := make([]*wasabistandv1.LogEntry, n)
				for i := range list {
					index++
					list[i] = &wasabistandv1.LogEntry{Index: index, Term: 1, Data: make([]byte, 100)}
				}
				assert.NilError(b, s.Save(nil, list))
			}
			assert.NilError(b, f.Close())
		})
	}
}
