// Package wasabicall tracks the calls that an upstream runs, so that its
// outgoing calls inherit their deadline, importance and request retry budget.
// It makes no decisions about them.
package wasabicall

import (
	"crypto/rand"
	"sync"
	"time"

	"github.com/wasabistand/wasabistand"
)

// Call is a call that the local upstream is running. It is safe for concurrent
// use.
type Call struct {
	RequestID   string
	Caller      string
	Kind        wasabistand.CallKind
	Importance  wasabistand.Importance
	Deadline    time.Time
	RetryBudget wasabistand.RequestRetryBudget

	token          string
	mu             sync.Mutex
	openCalls      int
	openSince      time.Time
	downstreamTime time.Duration
	failed         map[uint64]bool
}

// maxFailed is the maximum number of failed outgoing calls that are recorded.
// Once it is reached, every further outgoing call counts as a retry.
const maxFailed = 256

// Token returns the value of the Wasabi-Call header, empty before
// Registry.Add.
func (c *Call) Token() string { return c.token }

// BeginOutgoing records the start of an outgoing call.
func (c *Call) BeginOutgoing(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.openCalls == 0 {
		c.openSince = now
	}
	c.openCalls++
}

// EndOutgoing records the end of an outgoing call.
func (c *Call) EndOutgoing(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.openCalls--
	if c.openCalls == 0 {
		c.downstreamTime += now.Sub(c.openSince)
	}
}

// RecordFailure records that the outgoing call with this signature got no
// complete response, or one that invites a retry.
func (c *Call) RecordFailure(signature uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed == nil {
		c.failed = map[uint64]bool{}
	}
	if len(c.failed) < maxFailed {
		c.failed[signature] = true
	}
}

// IsRetry reports whether an outgoing call is a retry of a failed one. Without
// this check, upstreams that retry on their own would multiply retries from
// hop to hop.
func (c *Call) IsRetry(signature uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed[signature] || len(c.failed) >= maxFailed
}

// DownstreamTime returns the time during which at least one outgoing call was
// open. Overlapping calls count once.
func (c *Call) DownstreamTime(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.openCalls > 0 {
		return c.downstreamTime + now.Sub(c.openSince)
	}
	return c.downstreamTime
}

// Registry finds running calls by token. It is safe for concurrent use.
type Registry struct {
	mu       sync.RWMutex
	calls    map[string]*Call
	requests map[string]int
}

// New returns an empty registry. Its size is bounded by the number of calls
// that the upstream runs.
func New() *Registry {
	return &Registry{calls: map[string]*Call{}, requests: map[string]int{}}
}

// Add registers a call and sets its token. The token cannot be guessed, so
// that no caller can spend the retry budget of another call.
func (r *Registry) Add(c *Call) {
	c.token = rand.Text()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls[c.token] = c
	r.requests[c.RequestID]++
}

// Remove removes a call.
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

// Find returns the call with a token, nil if there is none.
func (r *Registry) Find(token string) *Call {
	if token == "" {
		return nil
	}
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.calls[token]
}

// HasRequest reports whether a call with a request ID is running. It identifies
// outgoing calls of upstreams that copy the request ID but not the token.
func (r *Registry) HasRequest(request string) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.requests[request] > 0
}

// Len returns the number of running calls.
func (r *Registry) Len() int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return len(r.calls)
}

// String returns the name of the registry.
func (r *Registry) String() string { return "calls" }
