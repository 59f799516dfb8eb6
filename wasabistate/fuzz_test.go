package wasabistate_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand/wasabistate"
)

// FuzzRestore guards against a damaged snapshot that ends the process, or that is
// accepted and can't be written again.
func FuzzRestore(f *testing.F) {
	m := wasabistate.New(wasabistate.NewOptions())
	empty, err := m.Snapshot()
	assert.NilError(f, err)
	f.Add(empty)
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(t *testing.T, snapshot []byte) {
		m := wasabistate.New(wasabistate.NewOptions())
		if m.Restore(snapshot) != nil {
			return
		}
		again, err := m.Snapshot()
		assert.NilError(t, err)
		assert.NilError(t, wasabistate.New(wasabistate.NewOptions()).Restore(again))
	})
}

// FuzzApply guards against a command in the log that ends each replica that applies it.
func FuzzApply(f *testing.F) {
	f.Add([]byte{0x0a, 0x00}, uint64(1))
	f.Add([]byte{0xff}, uint64(0))
	f.Fuzz(func(t *testing.T, command []byte, index uint64) {
		m := wasabistate.New(wasabistate.NewOptions())
		m.Apply(index, command)
		snapshot, err := m.Snapshot()
		assert.NilError(t, err)
		assert.NilError(t, wasabistate.New(wasabistate.NewOptions()).Restore(snapshot))
	})
}
