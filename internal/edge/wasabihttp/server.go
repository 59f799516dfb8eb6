// Package wasabihttp speaks HTTP/1.1 on both sides of a node: a server for
// callers and connections to one upstream. It frames messages, bounds what a
// peer may send, and tells at once when a caller has gone. Parsing is that of
// net/http. Where a request goes, and what an answer means, is decided
// elsewhere.
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

// ErrCallerGone is why the context of an exchange ends whose caller has closed
// the connection.
var ErrCallerGone = Error.New("the caller closed the connection")

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Handler answers one request. The context ends when the caller has gone or
// the server closes. An exchange that is left without an answer ends its
// connection.
type Handler func(ctx context.Context, x *Exchange)

// Server serves callers. It is safe for concurrent use.
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

// NewServer returns a server with limits that may change later. Connections
// beyond the bound are closed as they come.
func NewServer(h Handler, l Limits, maxConnections int) *Server {
	s := &Server{handler: h, maxConnections: maxConnections, conns: map[*conn]struct{}{}}
	s.limits.Store(&l)
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// SetPipelined lets requests that were sent behind others be served beside them
// where f allows it; their answers wait for their turn. It is called before
// Serve.
func (s *Server) SetPipelined(f func(*http.Request) bool) { s.pipelined = f }

// beside reports whether a request may be served beside the one before it.
func (s *Server) beside(r *http.Request) bool { return s.pipelined != nil && s.pipelined(r) }

// SetLimits replaces the limits, for open connections too.
func (s *Server) SetLimits(l Limits) { s.limits.Store(&l) }

// acceptRetry is the pause after a failed accept, such as for a lack of
// descriptors.
const acceptRetry = 20 * time.Millisecond

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(ln net.Listener) error {
	for {
		c, err := ln.Accept()
		if err != nil {
			if s.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			time.Sleep(acceptRetry)
			continue
		}
		s.start(c)
	}
}

func (s *Server) start(raw net.Conn) {
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

func (s *Server) forget(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// Drain lets each further answer end its connection.
func (s *Server) Drain() { s.draining.Store(true) }

// CloseIdle closes the connections on which no request has begun.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.endIdle()
	}
}

// Connections returns how many connections are open.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Close ends all connections and waits.
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
