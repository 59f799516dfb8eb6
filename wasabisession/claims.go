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

// maxHomes bounds the home groups that a node keeps streams to.
const maxHomes = 64

// releaseMargin is how long after its expiry an unanswered claim is released.
// It covers the difference between the clocks of node and leader: a release
// that comes before its claim would leave the claim held.
const releaseMargin = time.Second

const (
	// settleGrace is how long after its deadline a claim can be settled.
	settleGrace = 5 * time.Second
	// maxSettleTimeout bounds the retries for calls of long patience.
	maxSettleTimeout = time.Minute
)

// settleAttempt bounds one attempt to record a settlement, so that a leader
// that lost its quorum is left.
const settleAttempt = time.Second

// claims makes and settles claims in home groups.
type claims struct {
	options     Options
	pool        *wasabilink.Pool
	instance    string
	incarnation uint64
	addresses   func(home string) []string

	mu      sync.Mutex
	homes   map[string]*home
	queued  int
	bytes   int64
	closing bool

	ctx    context.Context // ends when settlements must stop
	cancel context.CancelFunc
	wait   sync.WaitGroup
	closed chan struct{} // no late grants are waited for any more
}

func newClaims(o Options, p *wasabilink.Pool, self wasabistand.Instance, addresses func(string) []string) *claims {
	c := &claims{
		options: o, pool: p, instance: self.ID, incarnation: self.Incarnation, addresses: addresses,
		homes: map[string]*home{}, closed: make(chan struct{}),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

func (c *claims) home(name string) *home {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.homes[name]
	if h == nil && len(c.homes) < maxHomes && !c.closing {
		h = &home{claims: c, name: name}
		c.homes[name] = h
	}
	return h
}

// take claims the key for a call, for at most the claim time.
func (c *claims) take(ctx context.Context, w wasabistand.Claim) (wasabistand.ClaimState, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.claimTimeout)
	defer cancel()
	expires, _ := ctx.Deadline()
	if !w.Expires.IsZero() && w.Expires.Before(expires) {
		expires = w.Expires
	}
	request := &wasabistandv1.ClaimRequest{Home: w.Home, Kind: &wasabistandv1.ClaimRequest_Take{Take: &wasabistandv1.ClaimTake{
		Key: key(w), Owner: c.owner(w), Fingerprint: w.Fingerprint[:],
		ExpiresUnixMs: expires.UnixMilli(), DeadlineUnixMs: w.Deadline.UnixMilli(),
	}}}
	h := c.home(w.Home)
	if h == nil {
		return wasabistand.ClaimState{}, wasabistand.NewRefusal(wasabistand.ReasonClaim, "session is closed")
	}
	response, late, err := h.exchange(ctx, request, 0)
	if err != nil {
		if late != nil {
			c.releaseLate(w, late, expires)
		}
		return wasabistand.ClaimState{}, wasabistand.NewRefusal(wasabistand.ReasonClaim, err.Error())
	}
	if late != nil && response.GetState() == wasabistandv1.ClaimResponse_STATE_REFUSED {
		c.releaseLate(w, late, expires)
	}
	switch response.GetState() {
	case wasabistandv1.ClaimResponse_STATE_GRANTED:
		return wasabistand.ClaimState{Status: wasabistand.ClaimGranted}, nil
	case wasabistandv1.ClaimResponse_STATE_HELD:
		return wasabistand.ClaimState{Status: wasabistand.ClaimHeld}, nil
	case wasabistandv1.ClaimResponse_STATE_ANSWERED:
		return wasabistand.ClaimState{Status: wasabistand.ClaimAnswered, Answer: wasabiwire.ToRecordedAnswer(response.GetAnswer())}, nil
	case wasabistandv1.ClaimResponse_STATE_UNKNOWN:
		return wasabistand.ClaimState{Status: wasabistand.ClaimUnknown}, nil
	case wasabistandv1.ClaimResponse_STATE_MISMATCH:
		return wasabistand.ClaimState{Status: wasabistand.ClaimMismatch}, nil
	default:
		return wasabistand.ClaimState{}, wasabistand.NewRefusal(wasabistand.ReasonClaim, "the home group refused the claim")
	}
}

// releaseLate releases a claim that was sent and not answered in time: at once
// when the grant arrives late, else after the claim can't be granted any more.
func (c *claims) releaseLate(w wasabistand.Claim, late <-chan *wasabistandv1.ClaimResponse, expires time.Time) {
	c.start(w, &wasabistandv1.ClaimSettle_Released{Released: true}, 0, func(ctx context.Context) bool {
		t := time.NewTimer(time.Until(expires) + releaseMargin)
		defer t.Stop()
		select {
		case r, ok := <-late:
			if ok {
				return r.GetState() == wasabistandv1.ClaimResponse_STATE_GRANTED
			}
			// The stream was lost with the answer.
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

// settle queues what became of a granted call.
func (c *claims) settle(w wasabistand.Claim, t wasabistand.Settlement) error {
	var result settlement = &wasabistandv1.ClaimSettle_Unknown{Unknown: true}
	size := int64(0)
	switch {
	case t.Outcome == wasabistand.NotRun:
		result = &wasabistandv1.ClaimSettle_Released{Released: true}
	case t.Outcome == wasabistand.Answered && t.Answer != nil:
		a := wasabiwire.FromRecordedAnswer(t.Answer)
		result = &wasabistandv1.ClaimSettle_Answer{Answer: a}
		size = int64(proto.Size(a))
	}
	if !c.start(w, result, size, nil) {
		return Error.New("settlements wait already (at most %d and %d bytes are allowed), or the session is closed", c.options.maxSettles, c.options.maxSettleSize)
	}
	return nil
}

// settlement is one of the results of a ClaimSettle.
type settlement interface{}

func (c *claims) start(w wasabistand.Claim, result settlement, size int64, ready func(context.Context) bool) bool {
	c.mu.Lock()
	if c.closing || c.queued >= c.options.maxSettles || c.bytes+size > c.options.maxSettleSize {
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
		if ready != nil && !ready(c.ctx) {
			return
		}
		m := &wasabistandv1.ClaimSettle{Key: key(w), Owner: c.owner(w)}
		switch r := result.(type) {
		case *wasabistandv1.ClaimSettle_Released:
			m.Result = r
		case *wasabistandv1.ClaimSettle_Answer:
			m.Result = r
		case *wasabistandv1.ClaimSettle_Unknown:
			m.Result = r
		}
		// Until the claim reads as unknown a settlement still counts.
		patience := time.Until(w.Deadline) + settleGrace
		ctx, cancel := context.WithTimeout(c.ctx, min(max(patience, c.options.settleTimeout), maxSettleTimeout))
		defer cancel()
		if h := c.settleHome(w.Home); h != nil {
			request := &wasabistandv1.ClaimRequest{Home: w.Home, Kind: &wasabistandv1.ClaimRequest_Settle{Settle: m}}
			_, _, _ = h.exchange(ctx, request, settleAttempt)
		}
	}()
	return true
}

// settleHome returns a home that has been used before, also while closing.
func (c *claims) settleHome(name string) *home {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.homes[name]; h != nil || len(c.homes) >= maxHomes {
		return h
	}
	h := &home{claims: c, name: name}
	c.homes[name] = h
	return h
}

func (c *claims) owner(w wasabistand.Claim) *wasabistandv1.ClaimOwner {
	return &wasabistandv1.ClaimOwner{Instance: c.instance, Incarnation: c.incarnation, Call: w.Call}
}

func key(w wasabistand.Claim) *wasabistandv1.ClaimKey {
	return &wasabistandv1.ClaimKey{Caller: w.Caller, Key: w.Key, Service: w.Service}
}

// close waits for settlements for the bounded time and ends the streams.
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
	homes := c.homes
	c.homes = map[string]*home{}
	c.mu.Unlock()
	for _, h := range homes {
		h.close()
	}
}

var errNoAnswer = errors.New("no leader of the home group answered in time")

// jitter spreads the next attempt of claims that failed together.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }
