package wasabicontrol

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/wasabiconfig"
	"github.com/wasabistand/wasabistand/wasabistate"
)

// configuration is an immutable snapshot of the configuration that a group has
// committed.
type configuration struct {
	revision         uint64
	documentRevision uint64
	toml             string
	// compact is the document as it is sent to nodes.
	compact []byte
	drained []string
	// appliedAt is when this instance applied the revision.
	appliedAt time.Time
}

// stateMachine is the state machine of a group. The log's runner applies
// commands. Readers load the published configuration without the lock, and take
// the lock for everything else.
type stateMachine struct {
	mu       sync.RWMutex
	state    *wasabistate.Machine
	current  atomic.Pointer[configuration]
	onChange func()
}

var _ wasabistand.StateMachine = (*stateMachine)(nil)

func newStateMachine(o wasabistate.Options, onChange func()) *stateMachine {
	m := &stateMachine{state: wasabistate.New(o), onChange: onChange}
	m.current.Store(&configuration{})
	return m
}

// Apply implements wasabistand.StateMachine.
func (m *stateMachine) Apply(index uint64, command []byte) any {
	m.mu.Lock()
	defer m.mu.Unlock()
	result := m.state.Apply(index, command)
	if m.state.Revision() != m.current.Load().revision {
		m.publish()
	}
	return result
}

// Snapshot implements wasabistand.StateMachine.
func (m *stateMachine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Snapshot()
}

// Restore implements wasabistand.StateMachine.
func (m *stateMachine) Restore(snapshot []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	err := m.state.Restore(snapshot)
	m.publish()
	return err
}

// String returns the name of the implementation.
func (m *stateMachine) String() string { return "state" }

// publish replaces the configuration that readers load.
func (m *stateMachine) publish() {
	d := m.state.Document()
	c := &configuration{revision: d.Revision, documentRevision: d.DocumentRevision, toml: d.TOML, drained: m.state.Drained(), appliedAt: time.Now()}
	if old := m.current.Load(); old.documentRevision == c.documentRevision && old.toml == c.toml {
		c.compact = old.compact
	} else {
		var err error
		if c.compact, err = wasabiconfig.Compact(c.toml); err != nil {
			// Compressing into memory cannot fail.
			panic(err)
		}
	}
	m.current.Store(c)
	m.onChange()
}

func (m *stateMachine) document(revision uint64) (wasabistate.Document, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Configuration(revision)
}

func (m *stateMachine) history(limit int, before uint64) []*wasabistandv1.HistoryEntry {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var list []*wasabistandv1.HistoryEntry
	for _, e := range m.state.History(limit, before) {
		list = append(list, e.Message())
	}
	return list
}

func (m *stateMachine) limits() wasabistate.Limits {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Limits()
}

func (m *stateMachine) claims() wasabistate.ClaimStats {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Claims()
}
