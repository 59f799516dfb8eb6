package wasabihead

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
)

// ErrBroken means that a connection ended with an error in place of the end of its
// stream.
var ErrBroken = Error.New("the connection broke")

// Conn is a connection whose error shows in both directions. The kernel reports that a
// connection was reset once: to a write, if that comes first, and reads return the end
// of the stream after that. A message that ends with its connection would look complete.
// Conn returns the end of a stream only if no write has failed, and none that runs
// meanwhile fails.
type Conn struct {
	net.Conn
	mu      sync.Mutex
	changed *sync.Cond
	writes  int // that run
	failure error
}

// NewConn returns a Conn that owns c.
func NewConn(c net.Conn) *Conn {
	out := &Conn{Conn: c}
	out.changed = sync.NewCond(&out.mu)
	return out
}

// DialContext dials a Conn, for an http.Transport.
func DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return NewConn(c), nil
}

// NetConn returns the connection below.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.writes++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes--
	if err != nil && c.failure == nil {
		c.failure = err
	}
	c.changed.Broadcast()
	return n, err
}

// Read implements net.Conn. At the end of the stream it waits for writes that run.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.writes > 0 {
		c.changed.Wait()
	}
	if c.failure != nil {
		return n, errors.Join(ErrBroken, c.failure)
	}
	return n, err
}
