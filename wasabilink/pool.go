package wasabilink

import (
	"context"
	"sync"
	"time"
)

// Pool keeps one usable link to each address. When a link becomes suspect, the
// pool opens a replacement and keeps the old link until it is silent or idle.
// It is safe for concurrent use.
type Pool struct {
	options Options
	handler Handler
	mu      sync.Mutex
	current map[string]*Link
	dialing map[string]*dialAttempt
	all     map[*Link]struct{}
	closed  bool
	ctx     context.Context
	cancel  context.CancelFunc
	wait    sync.WaitGroup
}

type dialAttempt struct {
	done chan struct{}
	link *Link
	err  error
}

// NewPool returns an empty pool. The handler serves streams that peers open on
// dialed links; it may be nil.
func NewPool(o Options, h Handler) *Pool {
	p := &Pool{options: o, handler: h, current: map[string]*Link{}, dialing: map[string]*dialAttempt{}, all: map[*Link]struct{}{}}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.wait.Go(p.closeIdleLinks)
	return p
}

// Get returns a usable link to an address. It dials if there is none. An error
// means that nothing was sent.
func (p *Pool) Get(ctx context.Context, address string) (*Link, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, Error.New("pool is closed")
	}
	if l := p.current[address]; l != nil && l.Usable() {
		p.mu.Unlock()
		return l, nil
	}
	d := p.dialing[address]
	if d == nil {
		if len(p.all) >= p.options.maxLinks {
			p.mu.Unlock()
			return nil, Error.New("%d links are open, at most %d are allowed", len(p.all), p.options.maxLinks)
		}
		d = &dialAttempt{done: make(chan struct{})}
		p.dialing[address] = d
		p.wait.Go(func() { p.dial(address, d) })
	}
	p.mu.Unlock()
	select {
	case <-d.done:
		return d.link, d.err
	case <-ctx.Done():
		return nil, Error.Wrap(ctx.Err())
	}
}

// Links returns the number of open links.
func (p *Pool) Links() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.all)
}

// Close closes all links and waits for their handlers to return.
func (p *Pool) Close() error {
	p.mu.Lock()
	p.closed = true
	list := make([]*Link, 0, len(p.all))
	for l := range p.all {
		list = append(list, l)
	}
	p.mu.Unlock()
	p.cancel()
	for _, l := range list {
		_ = l.Close()
	}
	p.wait.Wait()
	return nil
}

// String returns the name of the implementation.
func (p *Pool) String() string { return "yamux" }

// dialTimeout is longer than the silence that ends a link, so that a dial over
// a slow path can still succeed.
const dialTimeout = 3 * time.Second

func (p *Pool) dial(address string, d *dialAttempt) {
	ctx, cancel := context.WithTimeout(p.ctx, dialTimeout)
	defer cancel()
	d.link, d.err = Dial(ctx, address, p.options, p.handler)
	p.mu.Lock()
	delete(p.dialing, address)
	if d.err == nil && p.closed {
		p.mu.Unlock()
		_ = d.link.Close()
		d.link, d.err = nil, Error.New("pool is closed")
		close(d.done)
		return
	}
	if d.err == nil {
		p.current[address] = d.link
		p.all[d.link] = struct{}{}
		p.wait.Go(func() { p.removeWhenDone(address, d.link) })
	}
	p.mu.Unlock()
	close(d.done)
}

func (p *Pool) removeWhenDone(address string, l *Link) {
	<-l.Done()
	_ = l.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.all, l)
	if p.current[address] == l {
		delete(p.current, address)
	}
}

// closeIdleLinks closes links that are idle, and replaced links once they have
// no open streams.
func (p *Pool) closeIdleLinks() {
	t := time.NewTicker(max(p.options.closeIdleAfter/4, p.options.heartbeatInterval))
	defer t.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-t.C:
		}
		for _, l := range p.takeIdle(monotonicNow()) {
			_ = l.Close()
		}
	}
}

// takeIdle returns the links to close and removes them from the links in use.
func (p *Pool) takeIdle(now time.Duration) []*Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []*Link
	for l := range p.all {
		if l.Streams() > 0 {
			continue
		}
		replaced := p.current[l.address] != l
		if replaced || now-l.lastUse.load() >= p.options.closeIdleAfter {
			if !replaced {
				delete(p.current, l.address)
			}
			list = append(list, l)
		}
	}
	return list
}
