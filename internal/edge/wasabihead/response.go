package wasabihead

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
)

// ResponseConn is a client's connection that passes on the head of a response once it
// was checked. It is for clients that parse responses themselves, such as
// http.Transport, and serves one request at a time.
type ResponseConn struct {
	net.Conn
	limit int

	mu       sync.Mutex
	expected bool   // a response's head follows
	checked  bool   // the head of the latest request's response was checked
	held     []byte // read and not passed on
	passed   int    // bytes of held that may be passed on
}

// NewResponseConn returns a ResponseConn that owns c and refuses heads of more than
// limit bytes.
func NewResponseConn(c net.Conn, limit int) *ResponseConn {
	return &ResponseConn{Conn: c, limit: limit}
}

// Expect announces a request. It must be called before the request is written, and after
// the response to the one before was read.
func (c *ResponseConn) Expect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expected, c.checked = true, false
}

// Checked reports whether the head of the response to the latest request was checked. It
// is not if the bytes were read before the request was announced.
func (c *ResponseConn) Checked() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.checked
}

// Read implements net.Conn. The error is ErrTooLarge or of class ErrMalformed for a head
// that is refused, and io.ErrUnexpectedEOF if the stream ends in one.
func (c *ResponseConn) Read(p []byte) (int, error) {
	for {
		if n := c.take(p); n > 0 || len(p) == 0 {
			return n, nil
		}
		n, err := c.Conn.Read(p)
		if held, errHead := c.hold(p[:n]); errHead != nil {
			return 0, errHead
		} else if !held {
			return n, err
		}
		if errors.Is(err, io.EOF) && c.isInHead() {
			return 0, io.ErrUnexpectedEOF
		}
		if err != nil {
			// Bytes that may be passed on go before the error, which the connection
			// returns again.
			if n := c.take(p); n > 0 {
				return n, nil
			}
			return 0, err
		}
	}
}

// take copies bytes that may be passed on.
func (c *ResponseConn) take(p []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := copy(p, c.held[:c.passed])
	c.held, c.passed = c.held[n:], c.passed-n
	if len(c.held) == 0 {
		c.held = nil
	}
	return n
}

func (c *ResponseConn) isInHead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.expected && len(c.held) > c.passed
}

// hold keeps bytes that were read and checks the heads in them. It returns false if no
// head is expected, so that the bytes need not be held.
func (c *ResponseConn) hold(b []byte) (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.expected {
		return false, nil
	}
	searched := len(c.held) - c.passed
	c.held = append(c.held, b...)
	for c.expected {
		rest := c.held[c.passed:]
		end := findEnd(rest, searched)
		if end > c.limit || end < 0 && len(rest) > c.limit {
			return true, ErrTooLarge
		}
		if end < 0 {
			return true, nil
		}
		status, err := CheckResponse(rest[:end])
		if err != nil {
			return true, err
		}
		c.passed, searched = c.passed+end, 0
		if status >= http.StatusOK || status == http.StatusSwitchingProtocols {
			c.expected, c.checked, c.passed = false, true, len(c.held)
		}
	}
	return true, nil
}
