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
	// maxClaimProposals lets the next batch sync while the last one travels.
	maxClaimProposals = 4
	// maxClaimBatchBytes keeps recorded answers of one batch below the bound
	// of a command.
	maxClaimBatchBytes = 512 << 10
	// claimProposalTimeout bounds a batch; claims in it expire long before.
	claimProposalTimeout = 5 * time.Second
)

// batcher commits concurrent claim requests in common commands.
type batcher struct {
	log      wasabistand.ReplicatedLog
	queue    chan claimItem
	maxBatch int
	slots    chan struct{}
	batches  atomic.Uint64
	requests atomic.Uint64
	ctx      context.Context
	cancel   context.CancelFunc
	wait     sync.WaitGroup
}

type claimItem struct {
	request *wasabistandv1.ClaimRequest
	size    int
	reply   func(*wasabistandv1.ClaimResponse)
}

func newBatcher(l wasabistand.ReplicatedLog, maxQueued, maxBatch int) *batcher {
	b := &batcher{log: l, queue: make(chan claimItem, maxQueued), maxBatch: maxBatch, slots: make(chan struct{}, maxClaimProposals)}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	b.wait.Go(b.run)
	return b
}

// offer queues a request and reports whether there was room. reply is called
// once, from another goroutine.
func (b *batcher) offer(r *wasabistandv1.ClaimRequest, reply func(*wasabistandv1.ClaimResponse)) bool {
	select {
	case b.queue <- claimItem{request: r, size: proto.Size(r), reply: reply}:
		return true
	default:
		return false
	}
}

func (b *batcher) run() {
	for {
		// While all proposals are on their way, requests gather for the next.
		select {
		case <-b.ctx.Done():
			return
		case b.slots <- struct{}{}:
		}
		var list []claimItem
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
			defer func() { <-b.slots }()
			b.commit(list)
		})
	}
}

func (b *batcher) commit(list []claimItem) {
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
	answers, ok := result.(wasabistate.BatchResult)
	if err == nil && (!ok || len(answers.Results) != len(list)) {
		err = errors.New("the batch was refused")
	}
	leader := ""
	if wasabistand.ErrNotLeader.Has(err) {
		_, leader = b.log.Leader()
	}
	for i, item := range list {
		r := &wasabistandv1.ClaimResponse{State: wasabistandv1.ClaimResponse_STATE_NOT_LEADER, LeaderAddress: leader}
		if err == nil {
			r = answers.Results[i].Message()
		}
		r.Id = item.request.GetId()
		item.reply(r)
	}
}

func (b *batcher) close() {
	b.cancel()
	b.wait.Wait()
}

// serveClaims answers the claim requests of one node. Requests and answers are
// matched by id, so that a slow batch holds up no other.
func (i *Instance) serveClaims(s *wasabilink.Stream) {
	out := newOutbox(s, i.settings.maxQueuedBytes)
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
		g, address := i.home(r.GetHome())
		switch {
		case g == nil || !g.leads(i.settings.id):
			if g != nil {
				_, address = g.runner.Leader()
			}
			reply(&wasabistandv1.ClaimResponse{Id: r.GetId(), State: wasabistandv1.ClaimResponse_STATE_NOT_LEADER, LeaderAddress: address})
		case !g.claims.offer(r, reply):
			// A take is refused as certainly not granted; a settlement comes
			// again.
			state := wasabistandv1.ClaimResponse_STATE_REFUSED
			if r.GetSettle() != nil {
				state = wasabistandv1.ClaimResponse_STATE_NOT_LEADER
			}
			i.metrics.claimsRefused.Inc()
			reply(&wasabistandv1.ClaimResponse{Id: r.GetId(), State: state})
		}
	}
}

// home returns the group that holds a region's claims, or the address of a
// member when this instance takes no part in it.
func (i *Instance) home(region string) (*group, string) {
	for _, g := range i.settings.groups {
		if g.Name != RootGroup && g.Region == region {
			if own := i.groups[g.Name]; own != nil {
				return own, ""
			}
			return nil, g.Members[0].Address
		}
	}
	return i.groups[RootGroup], ""
}
