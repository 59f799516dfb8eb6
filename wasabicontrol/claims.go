package wasabicontrol

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/wasabilink"
	"github.com/wasabistand/wasabistand/wasabistate"
)

const (
	// maxClaimProposals is the number of batches proposed concurrently, so
	// that one batch can be synced to disk while the previous one replicates.
	maxClaimProposals = 4
	// maxClaimBatchBytes keeps the recorded responses of one batch below the
	// size limit of a command.
	maxClaimBatchBytes = 512 << 10
	// claimProposalTimeout bounds the proposal of a batch. The claims in it
	// expire long before.
	claimProposalTimeout = 5 * time.Second
)

// claimBatcher commits concurrent claim requests in batches, one command per
// batch.
type claimBatcher struct {
	log      wasabistand.ReplicatedLog
	queue    chan pendingClaim
	maxBatch int
	inFlight chan struct{}
	batches  atomic.Uint64
	requests atomic.Uint64
	ctx      context.Context
	cancel   context.CancelFunc
	wait     sync.WaitGroup
}

type pendingClaim struct {
	request *wasabistandv1.ClaimRequest
	size    int
	reply   func(*wasabistandv1.ClaimResponse)
}

func newClaimBatcher(l wasabistand.ReplicatedLog, maxQueued, maxBatch int) *claimBatcher {
	b := &claimBatcher{log: l, queue: make(chan pendingClaim, maxQueued), maxBatch: maxBatch, inFlight: make(chan struct{}, maxClaimProposals)}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	b.wait.Go(b.run)
	return b
}

// enqueue queues a request and reports whether the queue had room. reply is
// called once, from another goroutine.
func (b *claimBatcher) enqueue(r *wasabistandv1.ClaimRequest, reply func(*wasabistandv1.ClaimResponse)) bool {
	select {
	case b.queue <- pendingClaim{request: r, size: proto.Size(r), reply: reply}:
		return true
	default:
		return false
	}
}

func (b *claimBatcher) run() {
	for {
		// While all proposals are in flight, requests accumulate in the queue
		// for the next batch.
		select {
		case <-b.ctx.Done():
			return
		case b.inFlight <- struct{}{}:
		}
		var list []pendingClaim
		select {
		case <-b.ctx.Done():
			return
		case i := <-b.queue:
			list = append(list, i)
		}
		size := list[0].size
		for more := true; more && len(list) < b.maxBatch && size < maxClaimBatchBytes; {
			select {
			case i := <-b.queue:
				list = append(list, i)
				size += i.size
			default:
				more = false
			}
		}
		b.wait.Go(func() {
			defer func() { <-b.inFlight }()
			b.commit(list)
		})
	}
}

func (b *claimBatcher) commit(list []pendingClaim) {
	b.batches.Add(1)
	b.requests.Add(uint64(len(list)))
	batch := &wasabistandv1.ClaimBatch{Requests: make([]*wasabistandv1.ClaimRequest, len(list))}
	for i, item := range list {
		batch.Requests[i] = &wasabistandv1.ClaimRequest{Kind: item.request.Kind}
	}
	command := &wasabistandv1.StateCommand{ProposedUnixMs: time.Now().UnixMilli(), Kind: &wasabistandv1.StateCommand_Claims{Claims: batch}}
	message, err := proto.Marshal(command)
	var result any
	if err == nil {
		ctx, cancel := context.WithTimeout(b.ctx, claimProposalTimeout)
		result, err = b.log.Propose(ctx, message)
		cancel()
	}
	batchResult, ok := result.(wasabistate.BatchResult)
	if err == nil && (!ok || len(batchResult.Results) != len(list)) {
		err = errors.New("the batch was refused")
	}
	leader := ""
	if wasabistand.ErrNotLeader.Has(err) {
		_, leader = b.log.Leader()
	}
	for i, item := range list {
		r := &wasabistandv1.ClaimResponse{State: wasabistandv1.ClaimResponse_STATE_NOT_LEADER, LeaderAddress: leader}
		if err == nil {
			r = batchResult.Results[i].Message()
		}
		r.Id = item.request.GetId()
		item.reply(r)
	}
}

func (b *claimBatcher) close() {
	b.cancel()
	b.wait.Wait()
}

// serveClaims handles the claim requests of one node. Requests and responses
// are matched by ID, so that a slow batch does not block other requests.
func (i *Instance) serveClaims(s *wasabilink.Stream) {
	out := newOutbox(s, &i.metrics.sent, i.settings.maxQueuedBytes)
	defer out.finish(nil, 0)
	for {
		r := new(wasabistandv1.ClaimRequest)
		if s.Receive(r) != nil {
			return
		}
		reply := func(m *wasabistandv1.ClaimResponse) {
			if !out.put(m) {
				out.abort()
			}
		}
		g, address := i.groupForRegion(r.GetHome())
		switch {
		case g == nil || !g.isLeader(i.settings.id):
			if g != nil {
				_, address = g.runner.Leader()
			}
			reply(&wasabistandv1.ClaimResponse{Id: r.GetId(), State: wasabistandv1.ClaimResponse_STATE_NOT_LEADER, LeaderAddress: address})
		case !g.claims.enqueue(r, reply):
			// A take is refused, since it was certainly not granted. A
			// settlement must be retried.
			state := wasabistandv1.ClaimResponse_STATE_REFUSED
			if r.GetSettle() != nil {
				state = wasabistandv1.ClaimResponse_STATE_NOT_LEADER
			}
			i.metrics.claimsRefused.Inc()
			reply(&wasabistandv1.ClaimResponse{Id: r.GetId(), State: state})
		}
	}
}

// groupForRegion returns the group that stores a region's claims: its home
// group, or root. When this instance is not a member of the group, it returns
// the address of one of its members instead.
func (i *Instance) groupForRegion(region string) (*group, string) {
	for _, g := range i.settings.groups {
		if g.Name != RootGroup && g.Region == region {
			if localGroup := i.groups[g.Name]; localGroup != nil {
				return localGroup, ""
			}
			return nil, g.Members[0].Address
		}
	}
	return i.groups[RootGroup], ""
}
