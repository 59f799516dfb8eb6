// Package wasabicall keeps the state of the calls that an upstream runs, so
// that the calls it makes in turn share their deadline, importance and retry
// allowance. It decides nothing about them.
package wasabicall

import (
	"crypto/rand"
	"sync"
	"time"

	"github.com/wasabistand/wasabistand"
)

// Call is a call that the local upstream runs. It is safe for concurrent use.
type Call struct {
	RequestID  string
	Caller     string
	Kind       wasabistand.CallKind
	Importance wasabistand.Importance
	Deadline   time.Time
	Allowance  wasabistand.Allowance

	token  string
	mu     sync.Mutex
	open   int
	since  time.Time
	below  time.Duration
	failed map[uint64]bool
}

// maxFailed bounds the outgoing calls that are remembered as failed. With more
// than that, each further outgoing call counts as a resend.
const maxFailed = 256

// Token returns the value of Wasabi-Call, empty before Add.
func (c *Call) Token() string { return c.token }

// Begin records that the upstream makes an outgoing call.
func (c *Call) Begin(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == 0 {
		c.since = now
	}
	c.open++
}

// End records that an outgoing call has ended.
func (c *Call) End(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
	if c.open == 0 {
		c.below += now.Sub(c.since)
	}
}

// Failed records that an outgoing call with this signature got no whole
// answer, or one that invites a resend.
func (c *Call) Failed(signature uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed == nil {
		c.failed = map[uint64]bool{}
	}
	if len(c.failed) < maxFailed {
		c.failed[signature] = true
	}
}

// Resends reports whether an outgoing call repeats one that failed. Upstreams
// that resend on their own would otherwise multiply retries from hop to hop.
func (c *Call) Resends(signature uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed[signature] || len(c.failed) >= maxFailed
}

// Below returns the time in which at least one outgoing call was open. Calls
// that overlap count once.
func (c *Call) Below(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open > 0 {
		return c.below + now.Sub(c.since)
	}
	return c.below
}

// Registry finds calls by token. It is safe for concurrent use.
type Registry struct {
	mu       sync.RWMutex
	calls    map[string]*Call
	requests map[string]int
}

// New returns an empty registry. Its size is that of the calls which the
// upstream runs.
func New() *Registry {
	return &Registry{calls: map[string]*Call{}, requests: map[string]int{}}
}

// Add gives a call its token: unguessable, so that no caller can use the
// allowance of another's call.
func (r *Registry) Add(c *Call) {
	c.token = rand.Text()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls[c.token] = c
	r.requests[c.RequestID]++
}

// Remove forgets a call.
func (r *Registry) Remove(c *Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.calls[c.token] != c {
		return
	}
	delete(r.calls, c.token)
	if r.requests[c.RequestID]--; r.requests[c.RequestID] == 0 {
		delete(r.requests, c.RequestID)
	}
}

// Find returns the call with a token, nil for none.
func (r *Registry) Find(token string) *Call {
	if token == "" {
		return nil
	}
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.calls[token]
}

// Serves reports whether a call with a request identity runs. It finds
// outgoing calls whose upstream copies the request identity but no token.
func (r *Registry) Serves(request string) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.requests[request] > 0
}

// Len returns how many calls run.
func (r *Registry) Len() int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return len(r.calls)
}

// String names the implementation.
func (r *Registry) String() string { return "calls" }
