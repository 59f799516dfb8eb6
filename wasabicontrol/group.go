package wasabicontrol

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/wasabidisk"
	"github.com/wasabistand/wasabistand/wasabilink"
	"github.com/wasabistand/wasabistand/wasabiraft"
	"github.com/wasabistand/wasabistand/wasabistate"
)

// group is a replicated log that this instance takes part in, with its state.
type group struct {
	settings  Group
	machine   *machine
	runner    *wasabiraft.Runner
	confirmer *confirmer
	claims    *batcher
	transport *transport
}

// maxCommandBytes leaves room for the largest document and what goes with it.
const maxCommandBytes = 1<<20 + 64<<10

func openGroup(s Settings, g Group, folder *wasabidisk.Folder, raft wasabiraft.Settings, p *wasabilink.Pool, r wasabistand.Recorder, changed func()) (*group, error) {
	store, err := folder.Group(g.Name, wasabidisk.Options{})
	if err != nil {
		return nil, err
	}
	// Replicas must start alike: the settings' limits come by a command of the
	// leader, since settings may differ between instances.
	options := wasabistate.NewOptions()
	if s.revisions > 0 {
		options = options.WithRevisions(s.revisions, s.revisionBytes)
	}
	out := &group{settings: g, machine: newMachine(options, changed), transport: newTransport(s.cluster, g.Name, p)}
	var list []*wasabistandv1.Member
	for _, m := range g.Members {
		list = append(list, &wasabistandv1.Member{Id: m.ID, Address: m.Address})
	}
	raft.MaxCommandBytes = maxCommandBytes
	if s.losses > 0 {
		raft.MaxVoters = 2*s.losses + 1
	}
	out.runner, err = wasabiraft.Start(wasabiraft.RunnerConfig{
		Self:     wasabiraft.Self{ID: s.id, Address: s.linkAddress, Storage: folder.Identity().Storage},
		Settings: raft, Store: store, Transport: out.transport, StateMachine: out.machine,
		Members: list, Join: g.Join, Recorder: r,
	})
	if err != nil {
		out.transport.close()
		_ = store.Close()
		return nil, err
	}
	out.confirmer = newConfirmer(out.runner, s.confirmTimeout)
	out.claims = newBatcher(out.runner, s.maxClaims, s.maxClaimBatch)
	return out, nil
}

func (g *group) leads(id string) bool {
	leader, _ := g.runner.Leader()
	return leader == id
}

func (g *group) propose(ctx context.Context, c *wasabistandv1.StateCommand) (any, error) {
	c.ProposedUnixMs = time.Now().UnixMilli()
	b, err := proto.Marshal(c)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return g.runner.Propose(ctx, b)
}

// alignLimits proposes the limits of the settings while this instance leads
// and others are in force.
func (g *group) alignLimits(ctx context.Context, s Settings) error {
	want := wasabistate.Limits{ClaimRetention: s.retention, ClaimEntries: s.maxClaimEntries, AnswerBytes: s.maxAnswerBytes}
	if !g.leads(s.id) || g.machine.limits() == want {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, s.confirmTimeout)
	defer cancel()
	_, err := g.propose(ctx, &wasabistandv1.StateCommand{Kind: &wasabistandv1.StateCommand_Limits{Limits: &wasabistandv1.LimitsCommand{
		ClaimRetentionMs: want.ClaimRetention.Milliseconds(), ClaimEntries: uint64(want.ClaimEntries), AnswerBytes: uint64(want.AnswerBytes),
	}}})
	return err
}

func (g *group) close() error {
	g.claims.close()
	g.confirmer.close()
	err := g.runner.Close()
	g.transport.close()
	return err
}

// transport sends a group's messages, one goroutine and one stream for each
// member. It implements wasabiraft.Transport.
type transport struct {
	cluster string
	group   string
	pool    *wasabilink.Pool
	mu      sync.Mutex
	senders map[string]*sender
	closed  bool
	ctx     context.Context
	cancel  context.CancelFunc
	wait    sync.WaitGroup
}

type sender struct {
	address string
	queue   chan *wasabistandv1.GroupMessage
}

// Bounds of a sender. A full queue drops, which the log's protocol repairs.
const (
	maxSenders       = 64
	maxQueuedMessage = 1024
	maxFrameMessages = 256
	maxFrameBytes    = 1 << 20
	groupDialTimeout = time.Second
)

func newTransport(cluster, group string, p *wasabilink.Pool) *transport {
	t := &transport{cluster: cluster, group: group, pool: p, senders: map[string]*sender{}}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	return t
}

// Send implements wasabiraft.Transport.
func (t *transport) Send(_, address string, list []*wasabistandv1.GroupMessage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.senders[address]
	if s == nil {
		if t.closed || address == "" || len(t.senders) >= maxSenders {
			return
		}
		s = &sender{address: address, queue: make(chan *wasabistandv1.GroupMessage, maxQueuedMessage)}
		t.senders[address] = s
		t.wait.Go(func() { t.run(s) })
	}
	for _, m := range list {
		select {
		case s.queue <- m:
		default:
			return
		}
	}
}

func (t *transport) run(s *sender) {
	var stream *wasabilink.Stream
	defer func() {
		if stream != nil {
			_ = stream.Close()
		}
	}()
	for {
		f := &wasabistandv1.GroupFrame{Group: t.group, Cluster: t.cluster}
		select {
		case <-t.ctx.Done():
			return
		case m := <-s.queue:
			f.Messages = append(f.Messages, m)
		}
		size := proto.Size(f.Messages[0])
		for more := true; more && size < maxFrameBytes && len(f.Messages) < maxFrameMessages; {
			select {
			case m := <-s.queue:
				f.Messages = append(f.Messages, m)
				size += proto.Size(m)
			default:
				more = false
			}
		}
		if stream != nil && !stream.Link().Usable() {
			_ = stream.Close()
			stream = nil
		}
		if stream == nil {
			stream = t.open(s.address)
		}
		if stream != nil && stream.Send(f) != nil {
			_ = stream.Close()
			stream = nil
		}
	}
}

func (t *transport) open(address string) *wasabilink.Stream {
	ctx, cancel := context.WithTimeout(t.ctx, groupDialTimeout)
	defer cancel()
	link, err := t.pool.Get(ctx, address)
	if err != nil {
		return nil
	}
	stream, err := link.Open(wasabistandv1.StreamOpen_KIND_GROUP)
	if err != nil {
		return nil
	}
	return stream
}

func (t *transport) close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.cancel()
	t.wait.Wait()
}
