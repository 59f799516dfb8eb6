// Package wasabihttp implements HTTP/1.1 on both sides of a node: a server for
// callers and connections to one upstream. It frames messages, limits what a peer
// may send, and detects at once when a caller has disconnected. Parsing is done by
// net/http. Routing and the interpretation of responses belong to other packages.
package wasabihttp

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("http")

// ErrCallerGone is the cancellation cause of an exchange's context when the caller
// has closed the connection.
var ErrCallerGone = Error.New("the caller closed the connection")

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Handler responds to one request. The context is cancelled when the caller has
// disconnected or the server closes. If the handler returns without a response, the
// connection is closed.
type Handler func(ctx context.Context, x *Exchange)

// Server serves the connections of callers. It is safe for concurrent use.
type Server struct {
	handler        Handler
	pipelined      func(*http.Request) bool
	limits         atomic.Pointer[Limits]
	maxConnections int

	mu       sync.Mutex
	conns    map[*conn]struct{}
	draining atomic.Bool
	ctx      context.Context
	cancel   context.CancelFunc
	wait     sync.WaitGroup
}

// NewServer returns a server with the given limits, which may be changed later.
// Connections beyond maxConnections are closed when they are accepted.
func NewServer(h Handler, l Limits, maxConnections int) *Server {
	s := &Server{handler: h, maxConnections: maxConnections, conns: map[*conn]struct{}{}}
	s.limits.Store(&l)
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// SetPipelined lets pipelined requests be served concurrently with earlier ones
// where f returns true; their responses are written in the order of the requests.
// It must be called before Serve.
func (s *Server) SetPipelined(f func(*http.Request) bool) { s.pipelined = f }

// isPipelinable reports whether a request may be served concurrently with the
// previous one.
func (s *Server) isPipelinable(r *http.Request) bool { return s.pipelined != nil && s.pipelined(r) }

// SetLimits replaces the limits, also for open connections.
func (s *Server) SetLimits(l Limits) {
	s.limits.Store(&l)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.applyIdleTimeout()
	}
}

// acceptRetryDelay is the pause after a failed accept, such as for lack of file
// descriptors.
const acceptRetryDelay = 20 * time.Millisecond

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(ln net.Listener) error {
	for {
		c, err := ln.Accept()
		if err != nil {
			if s.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.startConn(c)
	}
}

func (s *Server) startConn(raw net.Conn) {
	c := newConn(s, raw)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil || len(s.conns) >= s.maxConnections {
		_ = raw.Close()
		return
	}
	s.conns[c] = struct{}{}
	s.wait.Go(c.serve)
}

func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// Drain makes each further response close its connection.
func (s *Server) Drain() { s.draining.Store(true) }

// CloseIdle closes the connections on which no request has started.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIfIdle()
	}
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Cancel ends the contexts of all exchanges, whose connections stay open for their
// responses. No further connection is accepted.
func (s *Server) Cancel() { s.cancel() }

// Close closes all connections and waits for their goroutines.
func (s *Server) Close() error {
	s.cancel()
	s.mu.Lock()
	for c := range s.conns {
		_ = c.raw.Close()
	}
	s.mu.Unlock()
	s.wait.Wait()
	return nil
}
