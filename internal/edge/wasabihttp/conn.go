package wasabihttp

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// readBuffer also bounds the pipelined requests that are read ahead.
	readBuffer  = 4 << 10
	writeBuffer = 4 << 10
	// lingerTimeout and lingerBytes bound the reading of a body that nobody
	// wants, so that the caller can read its answer before the close.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 1 << 20
	// writeTimeout bounds one write to a caller that does not read.
	writeTimeout = 20 * time.Second
)

var (
	errHeaderLarge = Error.New("the headers are larger than allowed")
	past           = time.Unix(1, 0)
)

// conn is one caller's connection. Its goroutine reads requests and watches
// for the caller's departure while another one answers.
type conn struct {
	server *Server
	raw    net.Conn
	head   headReader
	reader *bufio.Reader
	writer *bufio.Writer

	mu sync.Mutex
	// ahead says that bytes of a further request wait in the reader.
	ahead     bool
	idle      bool
	closeIdle bool
	idleSince time.Time
}

// headReader bounds the bytes read while headers are parsed.
type headReader struct {
	r    io.Reader
	left int
	on   bool
}

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	if !h.on {
		return h.r.Read(p)
	}
	if h.left <= 0 {
		return 0, errHeaderLarge
	}
	n, err := h.r.Read(p[:min(len(p), h.left)])
	h.left -= n
	return n, err
}

func newConn(s *Server, raw net.Conn) *conn {
	c := &conn{server: s, raw: raw, head: headReader{r: raw}}
	c.reader = bufio.NewReaderSize(&c.head, readBuffer)
	c.writer = bufio.NewWriterSize(&deadlineWriter{raw}, writeBuffer)
	return c
}

// deadlineWriter bounds each write.
type deadlineWriter struct{ net.Conn }

// Write implements io.Writer.
func (w *deadlineWriter) Write(p []byte) (int, error) {
	_ = w.SetWriteDeadline(time.Now().Add(writeTimeout))
	return w.Conn.Write(p)
}

func (c *conn) serve() {
	defer c.server.forget(c)
	defer c.raw.Close()
	c.mu.Lock()
	c.idleSince = time.Now()
	c.mu.Unlock()
	var last *Exchange
	for c.await(last) {
		x := c.read()
		if x == nil {
			return
		}
		last = x
		ctx, cancel := context.WithCancelCause(c.server.ctx)
		x.cancel = cancel
		c.server.wait.Go(func() {
			c.server.handler(ctx, x)
			x.finish()
		})
		if x.body != nil {
			select {
			case <-x.body.done:
			case <-x.done:
			}
		}
		if !c.watch(x) {
			cancel(ErrCallerGone)
			<-x.done
			return
		}
		cancel(nil)
		if x.closing {
			c.linger(x)
			return
		}
	}
}

// idleLimit returns when an idle connection ends.
func (c *conn) idleLimit() time.Time { return c.idleSince.Add(c.server.limits.Load().IdleTimeout) }

// await waits for the first byte of a request, for the idle time.
func (c *conn) await(last *Exchange) bool {
	if c.reader.Buffered() > 0 {
		return true
	}
	for {
		c.mu.Lock()
		if c.closeIdle {
			c.mu.Unlock()
			return false
		}
		c.idle = true
		if last == nil || c.ahead {
			_ = c.raw.SetReadDeadline(c.idleLimit())
		}
		limit := c.idleLimit()
		c.mu.Unlock()
		_, err := c.reader.Peek(1)
		c.mu.Lock()
		c.idle = false
		c.mu.Unlock()
		if err == nil {
			return true
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !time.Now().Before(limit) && !time.Now().Before(c.idleLimit()) {
			return false
		}
		c.mu.Lock()
		_ = c.raw.SetReadDeadline(c.idleLimit())
		c.mu.Unlock()
	}
}

// endIdle closes the connection if no request has begun.
func (c *conn) endIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeIdle = true
	if c.idle {
		_ = c.raw.SetReadDeadline(past)
	}
}

// read parses the head of a request. It answers one that is not allowed.
func (c *conn) read() *Exchange {
	l := c.server.limits.Load()
	_ = c.raw.SetReadDeadline(time.Now().Add(l.HeaderTimeout))
	c.head.on, c.head.left = true, l.MaxHeaderBytes+readBuffer-c.reader.Buffered()
	r, err := http.ReadRequest(c.reader)
	c.head.on = false
	_ = c.raw.SetReadDeadline(time.Time{})
	x := &Exchange{conn: c, Request: r, Received: time.Now(), done: make(chan struct{})}
	switch {
	case err == nil:
	case errors.Is(err, errHeaderLarge):
		x.reject(http.StatusRequestHeaderFieldsTooLarge)
		return nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.reject(http.StatusRequestTimeout)
		return nil
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), isNet(err):
		return nil
	default:
		x.reject(http.StatusBadRequest)
		return nil
	}
	if r.Host == "" && r.ProtoAtLeast(1, 1) {
		x.reject(http.StatusBadRequest)
		return nil
	}
	if headerBytes(r) > l.MaxHeaderBytes {
		x.reject(http.StatusRequestHeaderFieldsTooLarge)
		return nil
	}
	if r.ContentLength > l.MaxBodyBytes {
		x.reject(http.StatusRequestEntityTooLarge)
		return nil
	}
	if r.ContentLength != 0 {
		x.body = &requestBody{
			conn: c, reader: r.Body, left: l.MaxBodyBytes, done: make(chan struct{}),
			expects: r.ProtoAtLeast(1, 1) && r.Header.Get("Expect") == "100-continue",
		}
	}
	return x
}

func isNet(err error) bool {
	var n net.Error
	return errors.As(err, &n)
}

// headerBytes is the size of a request's head.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host) + len("  HTTP/1.1\r\nHost: \r\n\r\n")
	for k, list := range r.Header {
		for _, v := range list {
			n += len(k) + len(v) + len(": \r\n")
		}
	}
	return n
}

// watch waits for the end of an exchange and reports false once the caller
// has gone. It reads ahead, since only the end of the stream tells of a
// departure behind pipelined requests.
func (c *conn) watch(x *Exchange) bool {
	for {
		n := c.reader.Buffered()
		c.mu.Lock()
		if x.over {
			c.mu.Unlock()
			return true
		}
		c.ahead = n > 0
		_ = c.raw.SetReadDeadline(time.Time{})
		c.mu.Unlock()
		if n >= c.reader.Size() || x.body != nil && !x.body.ended() {
			<-x.done
			return true
		}
		_, err := c.reader.Peek(n + 1)
		if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		c.mu.Lock()
		over := x.over
		c.mu.Unlock()
		return over
	}
}

// linger reads what the caller still sends for a short time, since closing
// with unread bytes would reset the connection before the answer is read.
func (c *conn) linger(x *Exchange) {
	if x.body == nil || x.body.ended() {
		return
	}
	if t, ok := c.raw.(interface{ CloseWrite() error }); ok {
		_ = t.CloseWrite()
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.raw, lingerBytes)
}
