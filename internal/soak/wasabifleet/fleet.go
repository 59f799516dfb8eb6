// Package wasabifleet starts the processes of a deployment on this machine, signals
// and ends them, and keeps their logs. It touches no process that it did not start,
// and doesn't decide when to do what.
package wasabifleet

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("fleet")

// Fleet is a set of processes whose logs are in one folder. It is safe for
// concurrent use.
type Fleet struct {
	folder  string
	mu      sync.Mutex
	running map[*Process]bool
	closed  bool
}

// New returns a fleet without processes. The folder must exist.
func New(folder string) *Fleet { return &Fleet{folder: folder, running: map[*Process]bool{}} }

// String names the fleet.
func (f *Fleet) String() string { return "fleet in " + f.folder }

// LogPath returns the path of the log to which all processes of a name write.
func (f *Fleet) LogPath(name string) string { return filepath.Join(f.folder, name+".log") }

// Start starts a program whose output is appended to the log of the name.
func (f *Fleet) Start(name, program string, arguments, environment []string) (*Process, error) {
	log, err := os.OpenFile(f.LogPath(name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer func() { _ = log.Close() }()
	c := exec.Command(program, arguments...)
	c.Env, c.Stdout, c.Stderr = environment, log, log
	p := &Process{command: c, done: make(chan struct{})}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return nil, Error.New("closed")
	}
	if err := c.Start(); err != nil {
		return nil, Error.Wrap(err)
	}
	f.running[p] = true
	go func() {
		// The exit code is in the state, which Ended returns.
		_ = c.Wait()
		f.mu.Lock()
		delete(f.running, p)
		f.mu.Unlock()
		close(p.done)
	}()
	return p, nil
}

// Close ends all processes and waits for them.
func (f *Fleet) Close() error {
	f.mu.Lock()
	f.closed = true
	var list []*Process
	for p := range f.running {
		list = append(list, p)
	}
	f.mu.Unlock()
	var group errs.Group
	for _, p := range list {
		group.Add(p.Signal(syscall.SIGKILL))
	}
	for _, p := range list {
		<-p.done
	}
	return Error.Wrap(group.Err())
}

// Process is a process of a fleet. It is safe for concurrent use.
type Process struct {
	command *exec.Cmd
	done    chan struct{}
}

// Signal sends a signal. It has no effect on a process that has ended.
func (p *Process) Signal(s syscall.Signal) error {
	select {
	case <-p.done:
		return nil
	default:
	}
	if err := p.command.Process.Signal(s); err != nil && !errs.Is(err, os.ErrProcessDone) {
		return Error.Wrap(err)
	}
	return nil
}

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Ended describes how the process ended. It must not be called before it has.
func (p *Process) Ended() string { return p.command.ProcessState.String() }
