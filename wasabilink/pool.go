package wasabilink

import (
	"context"
	"sync"
	"time"
)

// Pool keeps one usable link to each address. A link that turns suspect is
// replaced by a new one beside it; the old one ends when it is silent or idle.
// It is safe for concurrent use.
type Pool struct {
	options Options
	handler Handler
	mu      sync.Mutex
	current map[string]*Link
	dialing map[string]*dialing
	all     map[*Link]struct{}
	closed  bool
	ctx     context.Context
	cancel  context.CancelFunc
	wait    sync.WaitGroup
}

type dialing struct {
	done chan struct{}
	link *Link
	err  error
}

// NewPool returns an empty pool. The handler serves streams that peers open on
// dialed links; it may be nil.
func NewPool(o Options, h Handler) *Pool {
	p := &Pool{options: o, handler: h, current: map[string]*Link{}, dialing: map[string]*dialing{}, all: map[*Link]struct{}{}}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.wait.Go(p.reap)
	return p
}

// Get returns a usable link to an address, dialing when there is none. An
// error means that nothing was sent.
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
		d = &dialing{done: make(chan struct{})}
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

// Links returns how many links are open.
func (p *Pool) Links() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.all)
}

// Close ends all links and waits.
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

// String names the implementation.
func (p *Pool) String() string { return "yamux" }

// dialTimeout is above the silent time, so that a slow path is still found.
const dialTimeout = 3 * time.Second

func (p *Pool) dial(address string, d *dialing) {
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
		p.wait.Go(func() { p.watch(address, d.link) })
	}
	p.mu.Unlock()
	close(d.done)
}

func (p *Pool) watch(address string, l *Link) {
	<-l.Done()
	_ = l.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.all, l)
	if p.current[address] == l {
		delete(p.current, address)
	}
}

// reap closes links that are idle, and replaced links once they are unused.
func (p *Pool) reap() {
	t := time.NewTicker(max(p.options.idleClose/4, p.options.heartbeat))
	defer t.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-t.C:
		}
		for _, l := range p.idle(steady()) {
			_ = l.Close()
		}
	}
}

func (p *Pool) idle(now time.Duration) []*Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []*Link
	for l := range p.all {
		if l.Streams() > 0 {
			continue
		}
		replaced := p.current[l.address] != l
		if replaced || now-l.lastUse.load() >= p.options.idleClose {
			if !replaced {
				delete(p.current, l.address)
			}
			list = append(list, l)
		}
	}
	return list
}
