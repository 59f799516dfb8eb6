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

	"github.com/wasabistand/wasabistand/internal/edge/wasabihead"
)

// Errors of a call to an upstream.
var (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = Error.New("the request was not sent")
	// ErrFull means that no further connection to the upstream is allowed.
	ErrFull = Error.New("all connections to the upstream are in use")
	// ErrBadResponse means that the upstream's bytes are no complete response to the
	// request.
	ErrBadResponse = Error.New("no whole answer")
)

// UpstreamOptions are the options of the connections to one upstream. They are
// immutable.
type UpstreamOptions struct {
	// Address is the address of the upstream, as IP:port.
	Address string
	// MaxConnections bounds the connections, at least 1.
	MaxConnections int
	// IdleTimeout is how long an idle connection may be reused when the upstream
	// sends no keep-alive timeout.
	IdleTimeout time.Duration
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// EchoHeader is a header field that a response repeats from its request. A
	// response with another value belongs to an earlier request. A request without
	// the field is sent on a connection of its own, since nothing tells its response
	// from a repeated one. Empty for none.
	EchoHeader string
	// MaxHeaderBytes bounds the head of a response.
	MaxHeaderBytes int
}

// maxStrayResponses bounds the responses to earlier requests that are skipped.
const maxStrayResponses = 4

// maxInformational bounds the 1xx responses that are skipped before a response.
const maxInformational = 16

// maxStrayBytes bounds the body of a response that is skipped.
const maxStrayBytes = 1 << 20

// Upstream is a pool of connections to one upstream instance. It sends each request
// once. It is safe for concurrent use.
type Upstream struct {
	options UpstreamOptions
	mu      sync.Mutex
	idle    []*upstreamConn // the most recently used one is at the end
	open    int
	closed  bool
	dialed  int64
}

type upstreamConn struct {
	owner       *Upstream
	raw         *wasabihead.Conn
	reader      *wasabihead.Reader
	writer      *bufio.Writer
	idleSince   time.Time
	idleTimeout time.Duration
}

// NewUpstream returns an upstream without open connections.
func NewUpstream(o UpstreamOptions) *Upstream { return &Upstream{options: o} }

// Dialed returns the number of connections that were dialed.
func (u *Upstream) Dialed() int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.dialed
}

// SetMaxConnections changes the maximum number of connections, at least 1.
func (u *Upstream) SetMaxConnections(n int) {
	u.mu.Lock()
	u.options.MaxConnections = max(n, 1)
	u.mu.Unlock()
}

// Close closes the idle connections; those in use close with their calls.
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

// takeIdle returns an idle connection that is still usable, nil if there is none.
func (u *Upstream) takeIdle(now time.Time) *upstreamConn {
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
		if now.Sub(c.idleSince) < c.idleTimeout && isIdle(c.raw.NetConn()) {
			return c
		}
		c.close()
	}
}

// acquire returns an idle connection or dials one.
func (u *Upstream) acquire(ctx context.Context) (*upstreamConn, error) {
	if c := u.takeIdle(time.Now()); c != nil {
		return c, nil
	}
	return u.dial(ctx)
}

// acquireUnused dials a connection, in place of an idle one if no further
// connection is allowed.
func (u *Upstream) acquireUnused(ctx context.Context) (*upstreamConn, error) {
	u.mu.Lock()
	var replaced *upstreamConn
	if len(u.idle) > 0 && u.open >= u.options.MaxConnections {
		replaced, u.idle = u.idle[0], u.idle[1:]
	}
	u.mu.Unlock()
	if replaced != nil {
		replaced.close()
	}
	return u.dial(ctx)
}

func (u *Upstream) dial(ctx context.Context) (*upstreamConn, error) {
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
	c := &upstreamConn{owner: u, raw: wasabihead.NewConn(raw), idleTimeout: u.options.IdleTimeout}
	c.reader = wasabihead.NewReader(c.raw, readBuffer)
	c.writer = bufio.NewWriterSize(c.raw, writeBuffer)
	return c, nil
}

// maxPruneChecks bounds the idle connections that one Prune checks for unexpected
// bytes.
const maxPruneChecks = 8

// Prune closes the connections that have exceeded their idle timeout, and those
// among the longest idle ones that the upstream has closed or sends bytes on.
func (u *Upstream) Prune(now time.Time) {
	u.mu.Lock()
	var expired []*upstreamConn
	kept := u.idle[:0]
	for i, c := range u.idle {
		if now.Sub(c.idleSince) >= c.idleTimeout || i < maxPruneChecks && !isIdle(c.raw.NetConn()) {
			expired = append(expired, c)
		} else {
			kept = append(kept, c)
		}
	}
	u.idle = kept
	u.mu.Unlock()
	for _, c := range expired {
		c.close()
	}
}

// Call is one request to an upstream and its response. Close must be called.
type Call struct {
	// Response is the head of the response; its body is read through Read.
	Response    *http.Response
	conn        *upstreamConn
	stop        func() bool
	sent        chan error // result of writing the request
	complete    bool
	notReusable bool
}

// Do sends a request and returns once the head of its response was read. Errors
// that are ErrNotSent or ErrFull mean that the upstream has received nothing of it;
// with all others it is unknown whether it ran. The context bounds the whole call.
func (u *Upstream) Do(ctx context.Context, r *http.Request) (*Call, error) {
	acquire, hasEcho := u.acquire, u.options.EchoHeader == "" || r.Header.Get(u.options.EchoHeader) != ""
	if !hasEcho {
		acquire = u.acquireUnused
	}
	c, err := acquire(ctx)
	if err != nil {
		return nil, err
	}
	if ctx.Err() != nil {
		u.release(c)
		return nil, errors.Join(ErrNotSent, ctx.Err())
	}
	call := &Call{conn: c, sent: make(chan error, 1), notReusable: !hasEcho}
	call.stop = context.AfterFunc(ctx, func() { _ = c.raw.Close() })
	if r.Body == nil || r.Body == http.NoBody {
		if err := call.write(r); err != nil {
			// After a failed write it can't be determined whether the kernel had
			// buffered a part of the request, so the upstream may have received it.
			call.discard()
			return nil, errors.Join(ErrBadResponse, err)
		}
		call.sent <- nil
	} else {
		go func() { call.sent <- call.write(r) }()
	}
	for range maxStrayResponses {
		if err = call.read(ctx, r); err != nil {
			break
		}
		if u.isResponseTo(call.Response, r) {
			return call, nil
		}
		// The response belongs to an earlier request. The connection will not be
		// reused, but the response to this request may follow.
		call.notReusable = true
		if n, err := io.Copy(io.Discard, io.LimitReader(call.Response.Body, maxStrayBytes)); err != nil || n == maxStrayBytes || call.Response.ContentLength < 0 && len(call.Response.TransferEncoding) == 0 {
			break
		}
		err = ErrBadResponse
	}
	if err == nil {
		err = ErrBadResponse
	}
	call.discard()
	return nil, err
}

// isResponseTo reports whether a response repeats the echo header of a request.
func (u *Upstream) isResponseTo(resp *http.Response, r *http.Request) bool {
	if u.options.EchoHeader == "" {
		return true
	}
	values := resp.Header.Values(u.options.EchoHeader)
	if len(values) == 0 {
		values = []string{""}
	}
	return len(values) == 1 && values[0] == r.Header.Get(u.options.EchoHeader)
}

func (c *Call) write(r *http.Request) error {
	if err := r.Write(c.conn.writer); err != nil {
		return err
	}
	return c.conn.writer.Flush()
}

// read reads the heads of responses until one that is not informational.
func (c *Call) read(ctx context.Context, r *http.Request) error {
	for range maxInformational {
		//nolint:bodyclose // The body ends with the call, which owns the connection.
		status, resp, err := c.readHead(r)
		switch {
		case err != nil && ctx.Err() != nil:
			return errors.Join(ErrBadResponse, context.Cause(ctx))
		case err != nil:
			return errors.Join(ErrBadResponse, err)
		case status >= 200:
			c.Response = resp
			return nil
		case status == http.StatusSwitchingProtocols:
			return ErrBadResponse
		}
	}
	return errors.Join(ErrBadResponse, Error.New("more than %d 1xx responses", maxInformational))
}

// readHead reads the head of one response, checks and parses it.
func (c *Call) readHead(r *http.Request) (status int, resp *http.Response, err error) {
	reader := c.conn.reader
	head, err := reader.PeekHead(c.conn.owner.options.MaxHeaderBytes + readBuffer)
	if err != nil {
		return 0, nil, err
	}
	if status, err = wasabihead.CheckResponse(head); err != nil {
		return 0, nil, err
	}
	resp, err = http.ReadResponse(reader.Reader, r)
	return status, resp, err
}

// Read reads the response's body. io.EOF means that it is complete.
func (c *Call) Read(p []byte) (int, error) {
	n, err := c.Response.Body.Read(p)
	if errors.Is(err, io.EOF) {
		c.complete = true
	} else if err != nil {
		err = errors.Join(ErrBadResponse, err)
	}
	return n, err
}

// Close ends the call. The connection is reused if request and response were
// complete and no other bytes followed.
func (c *Call) Close() error {
	if !c.stop() || !c.complete || c.notReusable || !c.isReusable() {
		c.discard()
		return nil
	}
	c.conn.idleTimeout = c.conn.owner.options.IdleTimeout
	if d, ok := keepAliveTimeout(c.Response.Header); ok {
		c.conn.idleTimeout = d
	}
	c.conn.owner.release(c.conn)
	return nil
}

func (c *Call) discard() {
	c.stop()
	c.conn.close()
}

func (c *Call) isReusable() bool {
	select {
	case err := <-c.sent:
		if err != nil {
			return false
		}
	default:
		// The upstream responded before it had read the request: the rest of the body
		// must not follow.
		return false
	}
	return !c.Response.Close && c.Response.ProtoAtLeast(1, 1) && c.conn.reader.Buffered() == 0
}

func (u *Upstream) release(c *upstreamConn) {
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
