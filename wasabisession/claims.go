package wasabisession

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/wasabilink"
	"github.com/wasabistand/wasabistand/wasabiwire"
)

// maxHomeGroups bounds the home groups to which a node keeps streams.
const maxHomeGroups = 64

// releaseMargin is how long after its expiry an unanswered claim is released.
// It covers the clock skew between node and leader: a release that is applied
// before its claim would leave the claim held.
const releaseMargin = time.Second

const (
	// settleGrace is how long after its deadline a claim can still be settled.
	settleGrace = 5 * time.Second
	// maxSettleTimeout bounds the retries for calls with long timeouts.
	maxSettleTimeout = time.Minute
)

// settleAttemptTimeout bounds one attempt to record a settlement, so that the
// node switches to another member when a leader has lost its quorum.
const settleAttemptTimeout = time.Second

// claims takes and settles claims in home groups.
type claims struct {
	options     Options
	pool        *wasabilink.Pool
	instance    string
	incarnation uint64
	addresses   func(region string) []string

	mu      sync.Mutex
	clients map[string]*homeClient
	queued  int
	bytes   int64
	closing bool

	ctx    context.Context // canceled when settlements must stop
	cancel context.CancelFunc
	wait   sync.WaitGroup
	closed chan struct{} // closed when late grants are no longer awaited
}

func newClaims(o Options, p *wasabilink.Pool, self wasabistand.Instance, addresses func(string) []string) *claims {
	c := &claims{
		options: o, pool: p, instance: self.ID, incarnation: self.Incarnation, addresses: addresses,
		clients: map[string]*homeClient{}, closed: make(chan struct{}),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

func (c *claims) client(name string) *homeClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.clients[name]
	if h == nil && len(c.clients) < maxHomeGroups && !c.closing {
		h = &homeClient{claims: c, name: name}
		c.clients[name] = h
	}
	return h
}

// take claims a call's key. It waits for at most the claim timeout.
func (c *claims) take(ctx context.Context, w wasabistand.Claim) (wasabistand.ClaimState, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.claimTimeout)
	defer cancel()
	expires, _ := ctx.Deadline()
	if !w.Expires.IsZero() && w.Expires.Before(expires) {
		expires = w.Expires
	}
	request := &wasabistandv1.ClaimRequest{Home: w.HomeRegion, Kind: &wasabistandv1.ClaimRequest_Take{Take: &wasabistandv1.ClaimTake{
		Key: claimKey(w), Owner: c.owner(w), Fingerprint: w.Fingerprint[:],
		ExpiresUnixMs: expires.UnixMilli(), DeadlineUnixMs: w.Deadline.UnixMilli(),
	}}}
	h := c.client(w.HomeRegion)
	if h == nil {
		return wasabistand.ClaimState{}, wasabistand.NewRefusal(wasabistand.ReasonClaim, "session is closed")
	}
	response, late, err := h.exchange(ctx, request, 0)
	if err != nil {
		if late != nil {
			c.releaseUnconfirmed(w, late, expires)
		}
		return wasabistand.ClaimState{}, wasabistand.NewRefusal(wasabistand.ReasonClaim, err.Error())
	}
	if late != nil && response.GetState() == wasabistandv1.ClaimResponse_STATE_REFUSED {
		c.releaseUnconfirmed(w, late, expires)
	}
	switch response.GetState() {
	case wasabistandv1.ClaimResponse_STATE_GRANTED:
		return wasabistand.ClaimState{Status: wasabistand.ClaimGranted}, nil
	case wasabistandv1.ClaimResponse_STATE_HELD:
		return wasabistand.ClaimState{Status: wasabistand.ClaimHeld}, nil
	case wasabistandv1.ClaimResponse_STATE_ANSWERED:
		return wasabistand.ClaimState{Status: wasabistand.ClaimAnswered, Response: wasabiwire.ToRecordedResponse(response.GetAnswer())}, nil
	case wasabistandv1.ClaimResponse_STATE_UNKNOWN:
		return wasabistand.ClaimState{Status: wasabistand.ClaimUnknown}, nil
	case wasabistandv1.ClaimResponse_STATE_MISMATCH:
		return wasabistand.ClaimState{Status: wasabistand.ClaimMismatch}, nil
	default:
		return wasabistand.ClaimState{}, wasabistand.NewRefusal(wasabistand.ReasonClaim, "the home group refused the claim")
	}
}

// releaseUnconfirmed releases a claim that was sent but got no response in time: at
// once when a late grant arrives, otherwise once the claim can no longer be
// granted.
func (c *claims) releaseUnconfirmed(w wasabistand.Claim, late <-chan *wasabistandv1.ClaimResponse, expires time.Time) {
	c.queueSettlement(w, &wasabistandv1.ClaimSettle_Released{Released: true}, 0, func(ctx context.Context) bool {
		t := time.NewTimer(time.Until(expires) + releaseMargin)
		defer t.Stop()
		select {
		case r, ok := <-late:
			if ok {
				return r.GetState() == wasabistandv1.ClaimResponse_STATE_GRANTED
			}
			// The response was lost with the stream.
			select {
			case <-t.C:
			case <-c.closed:
			case <-ctx.Done():
			}
		case <-t.C:
		case <-c.closed:
		case <-ctx.Done():
		}
		return true
	})
}

// settle queues the settlement of a granted call.
func (c *claims) settle(w wasabistand.Claim, t wasabistand.Settlement) error {
	var result settlementResult = &wasabistandv1.ClaimSettle_Unknown{Unknown: true}
	size := int64(0)
	switch {
	case t.Outcome == wasabistand.NotRun:
		result = &wasabistandv1.ClaimSettle_Released{Released: true}
	case t.Outcome == wasabistand.Answered && t.Response != nil:
		a := wasabiwire.FromRecordedResponse(t.Response)
		result = &wasabistandv1.ClaimSettle_Answer{Answer: a}
		size = int64(proto.Size(a))
	}
	if !c.queueSettlement(w, result, size, nil) {
		return Error.New("the settlement queue is full (at most %d settlements and %d bytes are allowed), or the session is closed", c.options.maxSettlements, c.options.maxSettlementBytes)
	}
	return nil
}

// settlementResult is one of the result types of a ClaimSettle message.
type settlementResult interface{}

func (c *claims) queueSettlement(w wasabistand.Claim, result settlementResult, size int64, shouldSend func(context.Context) bool) bool {
	c.mu.Lock()
	if c.closing || c.queued >= c.options.maxSettlements || c.bytes+size > c.options.maxSettlementBytes {
		c.mu.Unlock()
		return false
	}
	c.queued++
	c.bytes += size
	c.wait.Add(1)
	c.mu.Unlock()
	go func() {
		defer func() {
			c.mu.Lock()
			c.queued--
			c.bytes -= size
			c.mu.Unlock()
			c.wait.Done()
		}()
		if shouldSend != nil && !shouldSend(c.ctx) {
			return
		}
		m := &wasabistandv1.ClaimSettle{Key: claimKey(w), Owner: c.owner(w)}
		switch r := result.(type) {
		case *wasabistandv1.ClaimSettle_Released:
			m.Result = r
		case *wasabistandv1.ClaimSettle_Answer:
			m.Result = r
		case *wasabistandv1.ClaimSettle_Unknown:
			m.Result = r
		}
		// A settlement is still useful until the claim's state becomes unknown.
		remaining := time.Until(w.Deadline) + settleGrace
		ctx, cancel := context.WithTimeout(c.ctx, min(max(remaining, c.options.minSettleTimeout), maxSettleTimeout))
		defer cancel()
		if h := c.settlementClient(w.HomeRegion); h != nil {
			request := &wasabistandv1.ClaimRequest{Home: w.HomeRegion, Kind: &wasabistandv1.ClaimRequest_Settle{Settle: m}}
			_, _, _ = h.exchange(ctx, request, settleAttemptTimeout)
		}
	}()
	return true
}

// settlementClient returns the client of a home group. Unlike client, it also
// creates one while closing.
func (c *claims) settlementClient(name string) *homeClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.clients[name]; h != nil || len(c.clients) >= maxHomeGroups {
		return h
	}
	h := &homeClient{claims: c, name: name}
	c.clients[name] = h
	return h
}

func (c *claims) owner(w wasabistand.Claim) *wasabistandv1.ClaimOwner {
	return &wasabistandv1.ClaimOwner{Instance: c.instance, Incarnation: c.incarnation, Call: w.Call}
}

func claimKey(w wasabistand.Claim) *wasabistandv1.ClaimKey {
	return &wasabistandv1.ClaimKey{Caller: w.Caller, Key: w.Key, Service: w.Service}
}

// close waits for queued settlements, at most for the close timeout, and closes
// the streams.
func (c *claims) close() {
	c.mu.Lock()
	if c.closing {
		c.mu.Unlock()
		return
	}
	c.closing = true
	close(c.closed)
	c.mu.Unlock()
	t := time.AfterFunc(c.options.closeTimeout, c.cancel)
	c.wait.Wait()
	t.Stop()
	c.cancel()
	c.mu.Lock()
	clients := c.clients
	c.clients = map[string]*homeClient{}
	c.mu.Unlock()
	for _, h := range clients {
		h.close()
	}
}

var errNoResponse = errors.New("no leader of the home group answered in time")

// jitter randomizes a pause, so that claims that failed together are not retried
// together.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }
