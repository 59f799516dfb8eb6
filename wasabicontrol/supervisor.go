package wasabicontrol

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/wasabistand/wasabistand/wasabidisk"
)

// The pause before an instance is opened again doubles from minReopenPause to
// maxReopenPause, so that a disk that refuses for long costs few attempts and log
// lines.
const (
	minReopenPause = 250 * time.Millisecond
	maxReopenPause = 4 * time.Second
)

// SupervisorConfig holds the dependencies of a Supervisor.
type SupervisorConfig struct {
	// Open returns an instance that has started.
	Open func(Opening) (*Instance, error)
	Log  zerolog.Logger
}

// Opening says how an instance is opened.
type Opening struct {
	// Join is set if the group exists already, so that an empty data folder joins it.
	Join bool
	// Reopened is the number of instances that ran before in this process.
	Reopened uint64
	// KnownAddresses are those that the instance before knew at its end.
	KnownAddresses []string
}

// Supervisor keeps a control instance running: it opens it again when a replica
// has ended. It is safe for concurrent use.
type Supervisor struct {
	config SupervisorConfig
	// opening is that of the next instance. Only Start uses it, and then the goroutine
	// that Start begins.
	opening  Opening
	mu       sync.Mutex // guards instance
	instance *Instance
	stop     chan struct{}
	stopOnce sync.Once
	wait     sync.WaitGroup
}

// NewSupervisor returns a supervisor that has not started.
func NewSupervisor(c SupervisorConfig) *Supervisor {
	return &Supervisor{config: c, stop: make(chan struct{})}
}

// Start opens the instance. While the disk refuses it, Start returns nil and the
// attempts go on in the background; it returns any other error.
func (s *Supervisor) Start(join bool) error {
	s.opening.Join = join
	i, err := s.config.Open(s.opening)
	if err != nil && !wasabidisk.IsTemporary(err) {
		return err
	}
	s.set(i)
	s.wait.Go(func() {
		if err != nil {
			s.config.Log.Error().Err(err).Msg("the disk refuses the start of the control instance, it is repeated")
			i = s.reopen()
		}
		for i != nil {
			i = s.runUntilEnd(i)
		}
	})
	return nil
}

// runUntilEnd waits until an instance has ended and returns its successor, nil if
// the supervisor was stopped.
func (s *Supervisor) runUntilEnd(i *Instance) *Instance {
	select {
	case <-s.stop:
		return nil
	case <-i.Failed():
		s.config.Log.Error().Msg("a replica has ended, the control instance is opened again")
	}
	s.set(nil)
	if err := i.Close(); err != nil {
		s.config.Log.Warn().Err(err).Msg("closing the control instance failed")
	}
	s.opening.KnownAddresses = i.KnownAddresses()
	// A folder that was emptied by someone else must not form a new group.
	s.opening.Join = true
	return s.reopen()
}

// reopen opens the instance again until it succeeds. It returns nil if the
// supervisor was stopped.
func (s *Supervisor) reopen() *Instance {
	s.opening.Reopened++
	for pause := minReopenPause; s.sleep(pause); pause = nextPause(pause) {
		i, err := s.config.Open(s.opening)
		if err == nil {
			s.set(i)
			s.config.Log.Info().Uint64("Reopened", s.opening.Reopened).Msg("control instance opened again")
			return i
		}
		s.config.Log.Error().Err(err).Msg("opening the control instance again failed")
	}
	return nil
}

func nextPause(d time.Duration) time.Duration { return min(2*d, maxReopenPause) }

// sleep returns false if the supervisor is stopped before the time has passed.
func (s *Supervisor) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-s.stop:
		return false
	case <-t.C:
		return true
	}
}

func (s *Supervisor) set(i *Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instance = i
}

// Instance returns the running instance, nil while there is none.
func (s *Supervisor) Instance() *Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.instance
}

// Stop ends the supervision, so that the instance is not opened again.
func (s *Supervisor) Stop() {
	s.stopOnce.Do(func() { close(s.stop) })
	s.wait.Wait()
}

// Shutdown stops the supervision and shuts the instance down.
func (s *Supervisor) Shutdown(ctx context.Context) error {
	s.Stop()
	if i := s.Instance(); i != nil {
		return i.Shutdown(ctx)
	}
	return nil
}

// Close stops the supervision and closes the instance.
func (s *Supervisor) Close() error {
	s.Stop()
	if i := s.Instance(); i != nil {
		return i.Close()
	}
	return nil
}

// String names the implementation.
func (s *Supervisor) String() string { return "supervisor" }
