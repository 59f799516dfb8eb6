package wasabimesh_test

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/wasabistand/wasabistand/wasabilink"
)

// network relays the connections of a stress run. Data and closes that cross a cut
// path arrive when it is joined again, as those of TCP do.
type network struct {
	mu    sync.Mutex
	names map[string]string // by address
	cut   map[path]bool
	delay map[string]time.Duration // by machine, for each direction
	// changed is closed when a path changes.
	changed chan struct{}
}

// path is a direction between two machines.
type path struct{ from, to string }

func newNetwork() *network {
	return &network{names: map[string]string{}, cut: map[path]bool{}, delay: map[string]time.Duration{}, changed: make(chan struct{})}
}

func (n *network) setName(address, name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.names[address] = name
}

func (n *network) setCut(isCut bool, list ...path) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range list {
		n.cut[p] = isCut
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

// joinAll joins all paths.
func (n *network) joinAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cut)
	close(n.changed)
	n.changed = make(chan struct{})
}

// wait waits until a path is joined, and reports false if done is closed before.
func (n *network) wait(p path, done <-chan struct{}) bool {
	for {
		n.mu.Lock()
		isCut, changed := n.cut[p], n.changed
		n.mu.Unlock()
		if !isCut {
			return true
		}
		select {
		case <-changed:
		case <-done:
			return false
		}
	}
}

// dial returns the dial function of a machine.
func (n *network) dial(from string) wasabilink.DialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		n.mu.Lock()
		to := n.names[address]
		delay := n.delay[from] + n.delay[to]
		n.mu.Unlock()
		if !n.wait(path{from, to}, ctx.Done()) || !n.wait(path{to, from}, ctx.Done()) {
			return nil, ctx.Err()
		}
		var d net.Dialer
		remote, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		local, relayed := net.Pipe()
		r := &relay{network: n, delay: delay, closed: make(chan struct{})}
		go r.pump(relayed, remote, path{from, to})
		go r.pump(remote, relayed, path{to, from})
		return local, nil
	}
}

// relay is one relayed connection.
type relay struct {
	network *network
	delay   time.Duration
	// closed is closed when a close of one end has reached the other one.
	closed chan struct{}
	once   sync.Once
}

// chunk is data that arrives at a time, nil for a close.
type chunk struct {
	data []byte
	at   time.Time
}

// maxChunks bounds the data on the way. A sender waits beyond it.
const maxChunks = 256

// pump copies from one end to the other. Both ends are closed once a close has arrived
// in one direction.
func (r *relay) pump(source, target net.Conn, p path) {
	queue := make(chan chunk, maxChunks)
	go func() {
		defer close(queue)
		for {
			buffer := make([]byte, 16<<10)
			n, err := source.Read(buffer)
			if err != nil {
				return
			}
			select {
			case queue <- chunk{buffer[:n], time.Now().Add(r.delay)}:
			case <-r.closed:
				return
			}
		}
	}()
	for c := range queue {
		time.Sleep(time.Until(c.at))
		if !r.network.wait(p, r.closed) {
			break
		}
		if _, err := target.Write(c.data); err != nil {
			break
		}
	}
	r.network.wait(p, r.closed)
	r.once.Do(func() { close(r.closed) })
	_ = source.Close()
	_ = target.Close()
}
