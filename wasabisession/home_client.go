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

// maxPendingRequests bounds the unanswered requests on one stream.
const maxPendingRequests = 4096

// minRetryPause is the first pause between two attempts to reach a home group.
// It doubles up to maxRetryPause.
const (
	minRetryPause = 10 * time.Millisecond
	maxRetryPause = 500 * time.Millisecond
)

// homeClient is a node's client of one home group. It keeps one stream, to the
// leader if that is known.
type homeClient struct {
	claims *claims
	name   string

	mu         sync.Mutex
	stream     *claimStream
	leader     string // address reported by a member, empty if unknown
	nextMember int    // index of the address to try while no leader is known
	closing    bool
	wait       sync.WaitGroup
}

// exchange retries a request until a member gives a final response.
// attemptTimeout bounds the wait for one member; 0 means no bound other than the
// context's. late is not nil when the request was sent to a member that gave no
// final response: it delivers a response that may still arrive, and is closed
// when none can.
func (h *homeClient) exchange(ctx context.Context, request *wasabistandv1.ClaimRequest, attemptTimeout time.Duration) (response *wasabistandv1.ClaimResponse, late <-chan *wasabistandv1.ClaimResponse, err error) {
	pause := minRetryPause
	for {
		c, address := h.connect(ctx)
		if c != nil {
			attemptCtx, cancel := ctx, context.CancelFunc(func() {})
			if attemptTimeout > 0 {
				attemptCtx, cancel = context.WithTimeout(ctx, attemptTimeout)
			}
			r, pending := c.roundTrip(attemptCtx, request)
			cancel()
			if pending != nil && late != nil {
				// Either of two requests may have been committed.
				pending = noResponse
			}
			if pending != nil {
				late = pending
			}
			switch {
			case r == nil:
				// The timeout of a single call may be short, so stay with a
				// member that responds to other requests.
				if !c.usable() || c.sinceLastResponse() >= h.claims.options.claimTimeout {
					h.disconnect(c, "")
				}
			case r.GetState() == wasabistandv1.ClaimResponse_STATE_NOT_LEADER:
				// A member that lost leadership may have committed the request.
				if late == nil {
					late = noResponse
				}
				h.disconnect(c, r.GetLeaderAddress())
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
			return nil, late, errNoResponse
		case <-t.C:
		}
		pause = min(2*pause, maxRetryPause)
	}
}

// noResponse is the late channel of a request whose response cannot be awaited.
var noResponse = func() <-chan *wasabistandv1.ClaimResponse {
	c := make(chan *wasabistandv1.ClaimResponse)
	close(c)
	return c
}()

// connect returns the current stream and its address. Without a usable stream,
// it opens one to the leader or, if that is unknown, to the next member.
func (h *homeClient) connect(ctx context.Context) (*claimStream, string) {
	list := h.claims.addresses(h.name)
	h.mu.Lock()
	if c := h.stream; c != nil && c.usable() {
		h.mu.Unlock()
		return c, c.address
	}
	address := h.leader
	if address == "" && len(list) > 0 {
		address = list[h.nextMember%len(list)]
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
		h.nextMember++
		return nil, ""
	}
	if c := h.stream; h.closing || c != nil && c.usable() {
		_ = stream.Close()
		if h.closing {
			return nil, ""
		}
		return c, c.address
	}
	if old := h.stream; old != nil {
		// Its link is suspect, but may recover.
		h.wait.Go(old.closeDelayed)
	}
	c := &claimStream{address: address, stream: stream, pending: map[uint64]chan *wasabistandv1.ClaimResponse{}, requests: make(chan *wasabistandv1.ClaimRequest, 256), done: make(chan struct{}), shutdown: h.claims.ctx.Done()}
	c.lastResponse.Store(time.Now().UnixNano())
	h.stream = c
	h.wait.Add(2)
	go func() { defer h.wait.Done(); c.receive() }()
	go func() { defer h.wait.Done(); c.write() }()
	return c, address
}

// disconnect stops using a member that did not serve and records the leader that
// it reported, if any. The stream stays open for a while for late responses, or
// until the link ends.
func (h *homeClient) disconnect(c *claimStream, leader string) {
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
		h.nextMember++
		if list := h.claims.addresses(h.name); len(list) > 1 && list[h.nextMember%len(list)] == c.address {
			h.nextMember++
		}
	}
	h.wait.Go(c.closeDelayed)
}

func (h *homeClient) close() {
	h.mu.Lock()
	h.closing = true
	c := h.stream
	h.stream = nil
	h.mu.Unlock()
	if c != nil {
		c.closeStream()
	}
	h.wait.Wait()
}

// claimStream is one stream to a member, shared by all claims of a home group.
type claimStream struct {
	address      string
	stream       *wasabilink.Stream
	requests     chan *wasabistandv1.ClaimRequest
	done         chan struct{}
	shutdown     <-chan struct{}
	once         sync.Once
	lastResponse atomic.Int64 // when the member last responded, in Unix nanoseconds

	mu      sync.Mutex
	ended   bool
	lastID  uint64
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

// sinceLastResponse returns the time since the member last responded to any
// request.
func (c *claimStream) sinceLastResponse() time.Duration {
	return time.Since(time.Unix(0, c.lastResponse.Load()))
}

// roundTrip sends a request and waits for the response. Without a response, it
// returns the channel that may still receive one, nil when nothing was sent.
func (c *claimStream) roundTrip(ctx context.Context, request *wasabistandv1.ClaimRequest) (*wasabistandv1.ClaimResponse, <-chan *wasabistandv1.ClaimResponse) {
	response := make(chan *wasabistandv1.ClaimResponse, 1)
	m := &wasabistandv1.ClaimRequest{Home: request.Home, Kind: request.Kind}
	c.mu.Lock()
	if c.ended || len(c.pending) >= maxPendingRequests {
		c.mu.Unlock()
		return nil, nil
	}
	c.lastID++
	m.Id = c.lastID
	c.pending[m.Id] = response
	c.mu.Unlock()
	select {
	case c.requests <- m:
	case <-c.done:
		return nil, nil
	case <-ctx.Done():
		c.mu.Lock()
		delete(c.pending, m.Id)
		c.mu.Unlock()
		return nil, nil
	}
	select {
	case r, ok := <-response:
		if !ok {
			return nil, response
		}
		return r, nil
	case <-ctx.Done():
		return nil, response
	}
}

func (c *claimStream) write() {
	defer c.closeStream()
	for {
		select {
		case <-c.done:
			return
		case m := <-c.requests:
			if c.stream.Send(m) != nil {
				return
			}
		}
	}
}

func (c *claimStream) receive() {
	defer c.closeStream()
	for {
		r := new(wasabistandv1.ClaimResponse)
		if c.stream.Receive(r) != nil {
			return
		}
		c.lastResponse.Store(time.Now().UnixNano())
		c.mu.Lock()
		response := c.pending[r.GetId()]
		delete(c.pending, r.GetId())
		c.mu.Unlock()
		if response != nil {
			response <- r
		}
	}
}

// closeStream closes the stream and the response channels of all unanswered
// requests.
func (c *claimStream) closeStream() {
	c.once.Do(func() {
		close(c.done)
		_ = c.stream.SetDeadline(time.Now())
		_ = c.stream.Close()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.ended = true
		for id, response := range c.pending {
			close(response)
			delete(c.pending, id)
		}
	})
}

// closeDelayed closes a replaced stream once no claim sent on it can still be
// granted. Until then it receives late responses.
func (c *claimStream) closeDelayed() {
	t := time.NewTimer(2 * releaseMargin)
	defer t.Stop()
	select {
	case <-t.C:
	case <-c.done:
	case <-c.shutdown:
	}
	c.closeStream()
}
