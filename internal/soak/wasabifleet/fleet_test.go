package wasabifleet_test

import (
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand/internal/soak/wasabifleet"
)

func start(t *testing.T, f *wasabifleet.Fleet, script string) *wasabifleet.Process {
	t.Helper()
	p, err := f.Start("p", "/bin/sh", []string{"-c", script}, []string{"PATH=/bin:/usr/bin"})
	assert.NilError(t, err)
	return p
}

func await(t *testing.T, p *wasabifleet.Process) {
	t.Helper()
	select {
	case <-p.Done():
	case <-time.After(20 * time.Second):
		t.Fatal("the process has not ended")
	}
}

// The output of processes that follow each other under one name must stay.
func TestLogsStay(t *testing.T) {
	f := wasabifleet.New(t.TempDir())
	defer f.Close()
	await(t, start(t, f, "echo one"))
	p := start(t, f, "echo two; exit 3")
	await(t, p)
	assert.Equal(t, p.Ended(), "exit status 3")
	b, err := os.ReadFile(f.LogPath("p"))
	assert.NilError(t, err)
	assert.Equal(t, strings.TrimSpace(string(b)), "one\ntwo")
}

// A process that is frozen must end with the others, or it stays on the machine.
func TestCloseEndsFrozenProcesses(t *testing.T) {
	f := wasabifleet.New(t.TempDir())
	frozen, running := start(t, f, "exec sleep 60"), start(t, f, "exec sleep 60")
	assert.NilError(t, frozen.Signal(syscall.SIGSTOP))
	assert.NilError(t, f.Close())
	await(t, frozen)
	await(t, running)
	_, err := f.Start("p", "/bin/sh", nil, nil)
	assert.Assert(t, wasabifleet.Error.Has(err))
}

// The id of a process that has ended may be that of another program.
func TestSignalAfterTheEndHasNoEffect(t *testing.T) {
	f := wasabifleet.New(t.TempDir())
	defer f.Close()
	p := start(t, f, "exit 0")
	await(t, p)
	assert.NilError(t, p.Signal(syscall.SIGKILL))
}
