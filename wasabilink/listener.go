package wasabilink

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// Listener accepts links from peers.
type Listener struct {
	options  Options
	handler  Handler
	listener net.Listener
	mu       sync.Mutex
	links    map[*Link]struct{}
	closed   bool
	wait     sync.WaitGroup
}

// Serve accepts links on ln and serves their streams with h until Close.
func Serve(ln net.Listener, o Options, h Handler) *Listener {
	l := &Listener{options: o, handler: h, listener: ln, links: map[*Link]struct{}{}}
	l.wait.Go(l.accept)
	return l
}

// Addr returns the address that the listener is bound to.
func (l *Listener) Addr() net.Addr { return l.listener.Addr() }

// GoAway stops accepting and asks all peers to open no more streams.
func (l *Listener) GoAway(reason string) {
	_ = l.listener.Close()
	for _, k := range l.snapshot() {
		k.GoAway(reason)
	}
}

// Close closes all links and waits for their handlers to return.
func (l *Listener) Close() error {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	_ = l.listener.Close()
	for _, k := range l.snapshot() {
		_ = k.Close()
	}
	l.wait.Wait()
	return nil
}

// String returns the name of the implementation.
func (l *Listener) String() string { return "yamux" }

func (l *Listener) snapshot() []*Link {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]*Link, 0, len(l.links))
	for k := range l.links {
		list = append(list, k)
	}
	return list
}

// acceptPause is the delay after a failed accept. Without it, accepting while
// the process is out of file descriptors would be a busy loop.
const acceptPause = 50 * time.Millisecond

func (l *Listener) accept() {
	for {
		conn, err := l.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		l.mu.Lock()
		full := l.closed || len(l.links) >= l.options.maxLinks
		l.mu.Unlock()
		if full {
			_ = conn.Close()
			continue
		}
		l.wait.Go(func() { l.serve(conn) })
	}
}

func (l *Listener) serve(conn net.Conn) {
	k, err := newLink(context.Background(), conn, conn.RemoteAddr().String(), l.options, l.handler, false)
	if err != nil {
		return
	}
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		_ = k.Close()
		return
	}
	l.links[k] = struct{}{}
	l.mu.Unlock()
	<-k.Done()
	_ = k.Close()
	l.mu.Lock()
	delete(l.links, k)
	l.mu.Unlock()
}
