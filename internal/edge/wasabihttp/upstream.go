package wasabihttp

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Errors of a call to an upstream.
var (
	// ErrNotSent means that no byte of the request has left.
	ErrNotSent = Error.New("the request was not sent")
	// ErrFull means that the upstream has no room for another connection.
	ErrFull = Error.New("all connections to the upstream are in use")
	// ErrAnswer means that the upstream's bytes are no whole answer to the
	// request.
	ErrAnswer = Error.New("no whole answer")
)

// UpstreamOptions are the settings of the connections to one upstream: an
// immutable value.
type UpstreamOptions struct {
	// Address is where the upstream listens, as IP:port.
	Address string
	// MaxConnections bounds the connections, at least 1.
	MaxConnections int
	// IdleTimeout is how long a connection may be idle and still be used, when
	// the upstream names no time of its own.
	IdleTimeout time.Duration
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// EchoHeader is a header that an answer repeats from its request. An
	// answer that repeats another value belongs to an earlier request. Empty
	// for none.
	EchoHeader string
	// MaxHeaderBytes bounds the head of an answer.
	MaxHeaderBytes int
}

// maxStray bounds the answers to earlier requests that are passed over.
const maxStray = 4

// strayBytes bounds the body of an answer that is passed over.
const strayBytes = 1 << 20

// Upstream keeps connections to one upstream instance. It sends each request
// once. It is safe for concurrent use.
type Upstream struct {
	options UpstreamOptions
	mu      sync.Mutex
	idle    []*upstreamConn // the one used last is at the end
	open    int
	closed  bool
	dialed  int64
}

type upstreamConn struct {
	owner     *Upstream
	raw       net.Conn
	head      headReader
	reader    *bufio.Reader
	writer    *bufio.Writer
	idleSince time.Time
	idleFor   time.Duration
}

// NewUpstream returns an upstream without open connections.
func NewUpstream(o UpstreamOptions) *Upstream { return &Upstream{options: o} }

// Dialed returns how many connections were opened.
func (u *Upstream) Dialed() int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.dialed
}

// SetMaxConnections changes the bound of the connections, at least 1.
func (u *Upstream) SetMaxConnections(n int) {
	u.mu.Lock()
	u.options.MaxConnections = max(n, 1)
	u.mu.Unlock()
}

// Close ends idle connections; those in use end with their calls.
func (u *Upstream) Close() error {
	u.mu.Lock()
	list := u.idle
	u.idle, u.closed = nil, true
	u.mu.Unlock()
	for _, c := range list {
		c.close()
	}
	return nil
}

func (c *upstreamConn) close() {
	_ = c.raw.Close()
	c.owner.mu.Lock()
	c.owner.open--
	c.owner.mu.Unlock()
}

// take returns an idle connection that is still sound, nil for none.
func (u *Upstream) take(now time.Time) *upstreamConn {
	for {
		u.mu.Lock()
		n := len(u.idle)
		if n == 0 {
			u.mu.Unlock()
			return nil
		}
		c := u.idle[n-1]
		u.idle = u.idle[:n-1]
		u.mu.Unlock()
		if now.Sub(c.idleSince) < c.idleFor && quiet(c.raw) {
			return c
		}
		c.close()
	}
}

func (u *Upstream) get(ctx context.Context) (*upstreamConn, error) {
	if c := u.take(time.Now()); c != nil {
		return c, nil
	}
	u.mu.Lock()
	if u.closed || u.open >= u.options.MaxConnections {
		u.mu.Unlock()
		return nil, ErrFull
	}
	u.open++
	u.dialed++
	u.mu.Unlock()
	d := net.Dialer{Timeout: u.options.DialTimeout}
	raw, err := d.DialContext(ctx, "tcp", u.options.Address)
	if err != nil {
		u.mu.Lock()
		u.open--
		u.mu.Unlock()
		return nil, errors.Join(ErrNotSent, err)
	}
	c := &upstreamConn{owner: u, raw: raw, head: headReader{r: raw}, idleFor: u.options.IdleTimeout}
	c.reader = bufio.NewReaderSize(&c.head, readBuffer)
	c.writer = bufio.NewWriterSize(raw, writeBuffer)
	return c, nil
}

// Prune closes connections that have been idle for too long.
func (u *Upstream) Prune(now time.Time) {
	u.mu.Lock()
	var old []*upstreamConn
	kept := u.idle[:0]
	for _, c := range u.idle {
		if now.Sub(c.idleSince) >= c.idleFor {
			old = append(old, c)
		} else {
			kept = append(kept, c)
		}
	}
	u.idle = kept
	u.mu.Unlock()
	for _, c := range old {
		c.close()
	}
}

// Call is one request on its way. Close must be called.
type Call struct {
	// Answer is the head of the answer; its body is read through Body.
	Answer *http.Response
	conn   *upstreamConn
	stop   func() bool
	sent   chan error // result of the writing
	whole  bool
	broken bool
}

// Do sends a request and returns with the head of its answer. Errors that are
// ErrNotSent or ErrFull mean that the upstream has seen nothing of it; all
// others leave open whether it ran. The context bounds the whole call.
func (u *Upstream) Do(ctx context.Context, r *http.Request) (*Call, error) {
	c, err := u.get(ctx)
	if err != nil {
		return nil, err
	}
	if ctx.Err() != nil {
		u.put(c)
		return nil, errors.Join(ErrNotSent, ctx.Err())
	}
	call := &Call{conn: c, sent: make(chan error, 1)}
	call.stop = context.AfterFunc(ctx, func() { _ = c.raw.Close() })
	if r.Body == nil || r.Body == http.NoBody {
		if err := call.write(r); err != nil {
			// A write that fails at once has reached nobody only if nothing of
			// it was buffered by the kernel, which can't be told.
			call.abandon()
			return nil, errors.Join(ErrAnswer, err)
		}
		call.sent <- nil
	} else {
		go func() { call.sent <- call.write(r) }()
	}
	for range maxStray {
		if err = call.read(ctx, r); err != nil {
			break
		}
		if u.options.EchoHeader == "" || call.Answer.Header.Get(u.options.EchoHeader) == r.Header.Get(u.options.EchoHeader) {
			return call, nil
		}
		// The answer belongs to an earlier request; the connection is in
		// doubt from here on, but the right answer may follow.
		call.broken = true
		if n, err := io.Copy(io.Discard, io.LimitReader(call.Answer.Body, strayBytes)); err != nil || n == strayBytes || call.Answer.ContentLength < 0 && len(call.Answer.TransferEncoding) == 0 {
			break
		}
		err = ErrAnswer
	}
	if err == nil {
		err = ErrAnswer
	}
	call.abandon()
	return nil, err
}

func (c *Call) write(r *http.Request) error {
	if err := r.Write(c.conn.writer); err != nil {
		return err
	}
	return c.conn.writer.Flush()
}

func (c *Call) read(ctx context.Context, r *http.Request) error {
	for {
		c.conn.head.on, c.conn.head.left = true, c.conn.owner.options.MaxHeaderBytes+readBuffer
		//nolint:bodyclose // The body ends with the call, which owns the connection.
		answer, err := http.ReadResponse(c.conn.reader, r)
		c.conn.head.on = false
		if err != nil {
			if ctx.Err() != nil {
				return errors.Join(ErrAnswer, context.Cause(ctx))
			}
			return errors.Join(ErrAnswer, err)
		}
		if answer.StatusCode >= 200 {
			c.Answer = answer
			return nil
		}
		if answer.StatusCode == http.StatusSwitchingProtocols {
			return ErrAnswer
		}
	}
}

// Read reads the answer's body. io.EOF means that it is whole.
func (c *Call) Read(p []byte) (int, error) {
	n, err := c.Answer.Body.Read(p)
	if errors.Is(err, io.EOF) {
		c.whole = true
	} else if err != nil {
		err = errors.Join(ErrAnswer, err)
	}
	return n, err
}

// Close ends the call. The connection is used again if request and answer
// were whole and nothing else came.
func (c *Call) Close() error {
	if !c.stop() || !c.whole || c.broken || !c.reusable() {
		c.abandon()
		return nil
	}
	c.conn.idleFor = c.conn.owner.options.IdleTimeout
	if d, ok := keepAlive(c.Answer.Header); ok {
		c.conn.idleFor = d
	}
	c.conn.owner.put(c.conn)
	return nil
}

func (c *Call) abandon() {
	c.stop()
	c.conn.close()
}

func (c *Call) reusable() bool {
	select {
	case err := <-c.sent:
		if err != nil {
			return false
		}
	default:
		// The upstream answered before it had read the request: what is left
		// of the body must not follow.
		return false
	}
	return !c.Answer.Close && c.Answer.ProtoAtLeast(1, 1) && c.conn.reader.Buffered() == 0
}

func (u *Upstream) put(c *upstreamConn) {
	c.idleSince = time.Now()
	u.mu.Lock()
	if !u.closed {
		u.idle = append(u.idle, c)
		u.mu.Unlock()
		return
	}
	u.mu.Unlock()
	c.close()
}
