// Package wasabiproxy forwards TCP connections between processes on loopback
// addresses, and delays, silences or resets them. It doesn't decide when.
package wasabiproxy

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("proxy")

// Direction is a direction of a connection.
type Direction int

// Directions.
const (
	In  Direction = iota // to the target
	Out                  // from the target
)

// Rule says which connections are silent. What is sent on them meanwhile arrives
// after the silence, as after a cut of a network that TCP outlasts.
type Rule struct {
	In, Out bool
	Share   float64 // of the connections, old and new
}

// Settings describe a proxy.
type Settings struct {
	Listen, Target string
	// Delay is the one-way delay of DelayShare of the connections, as between
	// regions.
	Delay      time.Duration
	DelayShare float64
}

// Proxy forwards connections to one target. It is safe for concurrent use.
type Proxy struct {
	settings Settings
	listener net.Listener
	wait     sync.WaitGroup

	mu          sync.Mutex
	rule        Rule
	changed     chan struct{} // closed with each new rule
	connections map[*connection]bool
	closed      bool
}

// New returns a proxy that listens and forwards.
func New(s Settings) (*Proxy, error) {
	ln, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	p := &Proxy{settings: s, listener: ln, changed: make(chan struct{}), connections: map[*connection]bool{}}
	p.settings.Listen = ln.Addr().String()
	p.wait.Go(p.accept)
	return p, nil
}

// String names the proxy.
func (p *Proxy) String() string { return "proxy at " + p.settings.Listen }

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.settings.Listen }

// SetRule replaces the rule. The zero rule forwards everything.
func (p *Proxy) SetRule(r Rule) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rule = r
	close(p.changed)
	p.changed = make(chan struct{})
}

// Reset resets a share of the connections.
func (p *Proxy) Reset(share float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		if c.draw < share {
			c.reset()
		}
	}
}

// Close closes the listener and all connections, and waits for their goroutines.
func (p *Proxy) Close() error {
	err := p.listener.Close()
	p.mu.Lock()
	p.closed = true
	for c := range p.connections {
		c.close()
	}
	p.mu.Unlock()
	p.wait.Wait()
	return Error.Wrap(err)
}

func (p *Proxy) accept() {
	for {
		from, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// Accept fails for lack of descriptors, which ends with other connections.
			const pause = 10 * time.Millisecond
			time.Sleep(pause)
			continue
		}
		p.wait.Go(func() { p.forward(from) })
	}
}

// connection is an accepted connection and the one to the target.
type connection struct {
	from, to net.Conn
	draw     float64 // which shares it belongs to
	delay    time.Duration
	done     chan struct{}
	once     sync.Once
}

func (c *connection) close() {
	c.once.Do(func() {
		close(c.done)
		// The error of a close tells nothing that the peers don't see.
		_ = c.from.Close()
		_ = c.to.Close()
	})
}

func (c *connection) reset() {
	for _, x := range []net.Conn{c.from, c.to} {
		if t, ok := x.(*net.TCPConn); ok {
			// Without lingering, a close sends a reset.
			_ = t.SetLinger(0)
		}
	}
	c.close()
}

// forward forwards one connection until both directions have ended.
func (p *Proxy) forward(from net.Conn) {
	const dialTime = 2 * time.Second
	to, err := net.DialTimeout("tcp", p.settings.Target, dialTime)
	if err != nil {
		_ = from.Close()
		return
	}
	c := &connection{from: from, to: to, draw: rand.Float64(), done: make(chan struct{})}
	if rand.Float64() < p.settings.DelayShare {
		c.delay = p.settings.Delay
	}
	p.mu.Lock()
	p.connections[c] = true
	closed := p.closed
	p.mu.Unlock()
	if closed {
		c.close()
	}
	var both sync.WaitGroup
	both.Go(func() { p.pipe(c, In, from, to) })
	both.Go(func() { p.pipe(c, Out, to, from) })
	both.Wait()
	c.close()
	p.mu.Lock()
	delete(p.connections, c)
	p.mu.Unlock()
}

// piece is a piece of a stream. Without bytes it is the stream's end.
type piece struct {
	bytes []byte
	due   time.Time
}

// pipe forwards one direction.
func (p *Proxy) pipe(c *connection, d Direction, from, to net.Conn) {
	const pieces, pieceBytes = 256, 16 << 10
	queue := make(chan piece, pieces)
	var reader sync.WaitGroup
	defer reader.Wait()
	reader.Go(func() {
		b := make([]byte, pieceBytes)
		for {
			n, err := from.Read(b)
			if n > 0 && !c.queue(queue, piece{bytes.Clone(b[:n]), time.Now().Add(c.delay)}) {
				return
			}
			if err != nil {
				if !errors.Is(err, io.EOF) {
					c.reset()
				}
				c.queue(queue, piece{due: time.Now().Add(c.delay)})
				return
			}
		}
	})
	for {
		var x piece
		select {
		case <-c.done:
			return
		case x = <-queue:
		}
		if !c.sleep(time.Until(x.due)) || !p.awaitSound(c, d) {
			return
		}
		if x.bytes == nil {
			if t, ok := to.(*net.TCPConn); ok && t.CloseWrite() == nil {
				return
			}
			c.close()
			return
		}
		if _, err := to.Write(x.bytes); err != nil {
			c.reset()
			return
		}
	}
}

// queue adds a piece, unless the connection ends.
func (c *connection) queue(q chan<- piece, x piece) bool {
	select {
	case <-c.done:
		return false
	case q <- x:
		return true
	}
}

// sleep waits, unless the connection ends.
func (c *connection) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-c.done:
		return false
	case <-t.C:
		return true
	}
}

// awaitSound waits until the rule lets the direction of a connection pass.
func (p *Proxy) awaitSound(c *connection, d Direction) bool {
	for {
		p.mu.Lock()
		r, changed := p.rule, p.changed
		p.mu.Unlock()
		if c.draw >= r.Share || d == In && !r.In || d == Out && !r.Out {
			return true
		}
		select {
		case <-c.done:
			return false
		case <-changed:
		}
	}
}
