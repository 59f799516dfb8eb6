package wasabisession

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/wasabilink"
)

// maxPending bounds the requests that wait for an answer on one stream.
const maxPending = 4096

// retryPause is the first pause between two attempts at a home group; it
// doubles up to maxRetryPause.
const (
	retryPause    = 10 * time.Millisecond
	maxRetryPause = 500 * time.Millisecond
)

// home is a node's way to one home group: one stream to the member that leads,
// as far as known.
type home struct {
	claims *claims
	name   string

	mu      sync.Mutex
	stream  *claimStream
	leader  string // named by a member
	rotate  int    // which address to ask while no leader is known
	closing bool
	wait    sync.WaitGroup
}

// exchange sends a request until a member answers it. attempt bounds the wait
// for one member, 0 for no bound but the context's. late is not nil when the
// request was sent to a member that did not answer finally: it delivers the
// answer that may still come and is closed when none can.
func (h *home) exchange(ctx context.Context, request *wasabistandv1.ClaimRequest, attempt time.Duration) (response *wasabistandv1.ClaimResponse, late <-chan *wasabistandv1.ClaimResponse, err error) {
	pause := retryPause
	for {
		c, address := h.connect(ctx)
		if c != nil {
			actx, cancel := ctx, context.CancelFunc(func() {})
			if attempt > 0 {
				actx, cancel = context.WithTimeout(ctx, attempt)
			}
			r, pending := c.do(actx, request)
			cancel()
			if pending != nil && late != nil {
				// Either of two requests may have been accepted.
				pending = noAnswer
			}
			if pending != nil {
				late = pending
			}
			switch {
			case r == nil:
				// A short patience of one call is no reason to leave a member
				// that answers others.
				if !c.usable() || c.quiet() >= h.claims.options.claimTimeout {
					h.leave(c, "")
				}
			case r.GetState() == wasabistandv1.ClaimResponse_STATE_NOT_LEADER:
				// A member that lost the lead may have accepted the request.
				if late == nil {
					late = noAnswer
				}
				h.leave(c, r.GetLeaderAddress())
				if r.GetLeaderAddress() != "" && r.GetLeaderAddress() != address {
					continue
				}
			default:
				return r, late, nil
			}
		}
		t := time.NewTimer(jitter(pause))
		select {
		case <-ctx.Done():
			t.Stop()
			return nil, late, errNoAnswer
		case <-t.C:
		}
		pause = min(2*pause, maxRetryPause)
	}
}

// noAnswer is the late answer of a request that gets none.
var noAnswer = func() <-chan *wasabistandv1.ClaimResponse {
	c := make(chan *wasabistandv1.ClaimResponse)
	close(c)
	return c
}()

// connect returns the current stream, or opens one to the leader or the next
// member.
func (h *home) connect(ctx context.Context) (*claimStream, string) {
	list := h.claims.addresses(h.name)
	h.mu.Lock()
	if c := h.stream; c != nil && c.usable() {
		h.mu.Unlock()
		return c, c.address
	}
	address := h.leader
	if address == "" && len(list) > 0 {
		address = list[h.rotate%len(list)]
	}
	closing := h.closing
	h.mu.Unlock()
	if address == "" || closing {
		return nil, ""
	}
	var stream *wasabilink.Stream
	link, err := h.claims.pool.Get(ctx, address)
	if err == nil {
		stream, err = link.Open(wasabistandv1.StreamOpen_KIND_CLAIMS)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		if h.leader == address {
			h.leader = ""
		}
		h.rotate++
		return nil, ""
	}
	if c := h.stream; h.closing || c != nil && c.usable() {
		_ = stream.Close()
		if h.closing {
			return nil, ""
		}
		return c, c.address
	}
	c := &claimStream{address: address, stream: stream, pending: map[uint64]chan *wasabistandv1.ClaimResponse{}, out: make(chan *wasabistandv1.ClaimRequest, 256), done: make(chan struct{}), stop: h.claims.ctx.Done()}
	c.heard.Store(time.Now().UnixNano())
	h.stream = c
	h.wait.Add(2)
	go func() { defer h.wait.Done(); c.receive() }()
	go func() { defer h.wait.Done(); c.write() }()
	return c, address
}

// leave notes that a member did not serve and who leads instead. The stream
// stays open for late answers until the link ends or another one replaces it.
func (h *home) leave(c *claimStream, leader string) {
	if _, err := netip.ParseAddrPort(leader); err != nil {
		leader = ""
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stream != c {
		return
	}
	h.stream = nil
	h.leader = leader
	if leader == "" {
		h.rotate++
		if list := h.claims.addresses(h.name); len(list) > 1 && list[h.rotate%len(list)] == c.address {
			h.rotate++
		}
	}
	h.wait.Go(c.linger)
}

func (h *home) close() {
	h.mu.Lock()
	h.closing = true
	c := h.stream
	h.stream = nil
	h.mu.Unlock()
	if c != nil {
		c.end()
	}
	h.wait.Wait()
}

// claimStream is one stream to a member, shared by all claims of a home.
type claimStream struct {
	address string
	stream  *wasabilink.Stream
	out     chan *wasabistandv1.ClaimRequest
	done    chan struct{}
	stop    <-chan struct{}
	once    sync.Once
	heard   atomic.Int64 // when the member last answered

	mu      sync.Mutex
	ended   bool
	last    uint64
	pending map[uint64]chan *wasabistandv1.ClaimResponse
}

func (c *claimStream) usable() bool {
	select {
	case <-c.done:
		return false
	default:
		return c.stream.Link().Usable()
	}
}

// quiet returns for how long the member has not answered anything.
func (c *claimStream) quiet() time.Duration { return time.Since(time.Unix(0, c.heard.Load())) }

// do sends a request and waits. Without an answer it returns the channel that
// may still get it, nil when nothing was sent.
func (c *claimStream) do(ctx context.Context, request *wasabistandv1.ClaimRequest) (*wasabistandv1.ClaimResponse, <-chan *wasabistandv1.ClaimResponse) {
	answer := make(chan *wasabistandv1.ClaimResponse, 1)
	m := &wasabistandv1.ClaimRequest{Home: request.Home, Kind: request.Kind}
	c.mu.Lock()
	if c.ended || len(c.pending) >= maxPending {
		c.mu.Unlock()
		return nil, nil
	}
	c.last++
	m.Id = c.last
	c.pending[m.Id] = answer
	c.mu.Unlock()
	select {
	case c.out <- m:
	case <-c.done:
		return nil, nil
	case <-ctx.Done():
		c.mu.Lock()
		delete(c.pending, m.Id)
		c.mu.Unlock()
		return nil, nil
	}
	select {
	case r, ok := <-answer:
		if !ok {
			return nil, answer
		}
		return r, nil
	case <-ctx.Done():
		return nil, answer
	}
}

func (c *claimStream) write() {
	defer c.end()
	for {
		select {
		case <-c.done:
			return
		case m := <-c.out:
			if c.stream.Send(m) != nil {
				return
			}
		}
	}
}

func (c *claimStream) receive() {
	defer c.end()
	for {
		r := new(wasabistandv1.ClaimResponse)
		if c.stream.Receive(r) != nil {
			return
		}
		c.heard.Store(time.Now().UnixNano())
		c.mu.Lock()
		answer := c.pending[r.GetId()]
		delete(c.pending, r.GetId())
		c.mu.Unlock()
		if answer != nil {
			answer <- r
		}
	}
}

// end closes the stream. Requests without an answer learn that none comes.
func (c *claimStream) end() {
	c.once.Do(func() {
		close(c.done)
		_ = c.stream.SetDeadline(time.Now())
		_ = c.stream.Close()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.ended = true
		for id, answer := range c.pending {
			close(answer)
			delete(c.pending, id)
		}
	})
}

// linger keeps a replaced stream for late answers, for as long as any could
// still be granted.
func (c *claimStream) linger() {
	t := time.NewTimer(2 * releaseMargin)
	defer t.Stop()
	select {
	case <-t.C:
	case <-c.done:
	case <-c.stop:
	}
	c.end()
}
