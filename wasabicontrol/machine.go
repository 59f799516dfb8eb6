package wasabicontrol

import (
	"sync"
	"sync/atomic"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/wasabistate"
)

// configuration is an immutable snapshot of what a group has accepted.
type configuration struct {
	revision uint64
	document uint64
	toml     string
	drained  []string
}

// machine is a group's state machine. The log's runner applies; readers take
// the published configuration, and the lock for the history.
type machine struct {
	mu      sync.RWMutex
	state   *wasabistate.Machine
	current atomic.Pointer[configuration]
	changed func()
}

var _ wasabistand.StateMachine = (*machine)(nil)

func newMachine(o wasabistate.Options, changed func()) *machine {
	m := &machine{state: wasabistate.New(o), changed: changed}
	m.current.Store(&configuration{})
	return m
}

// Apply implements wasabistand.StateMachine.
func (m *machine) Apply(index uint64, command []byte) any {
	m.mu.Lock()
	defer m.mu.Unlock()
	result := m.state.Apply(index, command)
	if m.state.Revision() != m.current.Load().revision {
		m.publish()
	}
	return result
}

// Snapshot implements wasabistand.StateMachine.
func (m *machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Snapshot()
}

// Restore implements wasabistand.StateMachine.
func (m *machine) Restore(snapshot []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	err := m.state.Restore(snapshot)
	m.publish()
	return err
}

// String names the implementation.
func (m *machine) String() string { return "state" }

func (m *machine) publish() {
	d := m.state.Document()
	m.current.Store(&configuration{revision: d.Revision, document: d.DocumentRevision, toml: d.TOML, drained: m.state.Drained()})
	m.changed()
}

func (m *machine) document(revision uint64) (wasabistate.Document, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Configuration(revision)
}

func (m *machine) history(limit int, before uint64) []*wasabistandv1.HistoryEntry {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var list []*wasabistandv1.HistoryEntry
	for _, e := range m.state.History(limit, before) {
		list = append(list, e.Message())
	}
	return list
}

func (m *machine) limits() wasabistate.Limits {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Limits()
}

func (m *machine) claims() wasabistate.ClaimStats {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Claims()
}
