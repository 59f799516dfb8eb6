package wasabicontrol

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/internal/policy/wasabiform"
	"github.com/wasabistand/wasabistand/wasabidisk"
	"github.com/wasabistand/wasabistand/wasabilink"
	"github.com/wasabistand/wasabistand/wasabiraft"
	"github.com/wasabistand/wasabistand/wasabistate"
)

// group is a replicated log that this instance is a member of, with its state
// machine.
type group struct {
	settings  Group
	machine   *stateMachine
	runner    *wasabiraft.Runner
	confirmer *confirmer
	claims    *claimBatcher
	transport *transport
}

// maxCommandBytes is the size of the largest document plus room for the other
// fields of its command.
const maxCommandBytes = 1<<20 + 64<<10

func openGroup(s Settings, g Group, folder *wasabidisk.Folder, raft wasabiraft.Settings, p *wasabilink.Pool, sent *sentBytes, r wasabistand.Recorder, onChange func()) (*group, error) {
	store, err := folder.Group(g.Name, wasabidisk.Options{})
	if err != nil {
		return nil, err
	}
	// All replicas must start with the same limits. Those of the settings are
	// applied by a command of the leader, since settings may differ between
	// instances.
	options := wasabistate.NewOptions()
	if s.revisions > 0 {
		options = options.WithRevisions(s.revisions, s.revisionBytes)
	}
	out := &group{settings: g, machine: newStateMachine(options, onChange), transport: newTransport(s.cluster, g.Name, p, sent)}
	var list []*wasabistandv1.Member
	for _, m := range g.Members {
		list = append(list, &wasabistandv1.Member{Id: m.ID, Address: m.Address})
	}
	raft.MaxCommandBytes = maxCommandBytes
	if s.maxDiskLosses > 0 {
		o := wasabiform.NewOptions(s.maxDiskLosses)
		raft = raft.WithMaxVoters(o.MaxVoters()).WithTargetVoters(o.Voters())
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
	out.claims = newClaimBatcher(out.runner, s.maxClaims, s.maxClaimBatch)
	return out, nil
}

// isLeader reports whether the instance with the ID leads the group.
func (g *group) isLeader(id string) bool {
	leader, _ := g.runner.Leader()
	return leader == id
}

// propose commits a command and returns the state machine's result.
func (g *group) propose(ctx context.Context, c *wasabistandv1.StateCommand) (any, error) {
	c.ProposedUnixMs = time.Now().UnixMilli()
	b, err := proto.Marshal(c)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return g.runner.Propose(ctx, b)
}

// proposeLimits proposes the limits of the settings if this instance leads the
// group and the group's current limits differ.
func (g *group) proposeLimits(ctx context.Context, s Settings) error {
	want := wasabistate.Limits{ClaimRetention: s.claimRetention, ClaimEntries: s.maxClaimEntries, AnswerBytes: s.maxResponseBytes}
	if !g.isLeader(s.id) || g.machine.limits() == want {
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

// transport sends a group's messages to its members, with one goroutine and one
// stream per member. It implements wasabiraft.Transport.
type transport struct {
	cluster string
	group   string
	pool    *wasabilink.Pool
	sent    *sentBytes
	mu      sync.Mutex
	senders map[string]*sender
	sends   uint64
	closed  bool
	ctx     context.Context
	cancel  context.CancelFunc
	wait    sync.WaitGroup
}

// sender is the message queue to one member.
type sender struct {
	address string
	queue   chan *wasabistandv1.GroupMessage
	// lastSend is the number of the latest call of Send for this member.
	lastSend uint64
	ctx      context.Context
	cancel   context.CancelFunc
}

// Limits of a sender. A full queue drops messages; the replication protocol
// recovers from lost messages. Beyond maxSenders, the sender that has been idle for
// longest ends, which is one of a former member.
const (
	maxSenders        = 64
	maxQueuedMessages = 1024
	maxFrameMessages  = 256
	maxFrameBytes     = 1 << 20
	groupDialTimeout  = time.Second
	// groupSendTimeout bounds the sending of one frame. It is longer than the silence
	// that ends a link: a stream whose peer reads no more is replaced.
	groupSendTimeout = 5 * time.Second
)

func newTransport(cluster, group string, p *wasabilink.Pool, sent *sentBytes) *transport {
	t := &transport{cluster: cluster, group: group, pool: p, sent: sent, senders: map[string]*sender{}}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	return t
}

// Send implements wasabiraft.Transport.
func (t *transport) Send(_, address string, list []*wasabistandv1.GroupMessage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.senders[address]
	if s == nil {
		if t.closed || address == "" {
			return
		}
		if len(t.senders) >= maxSenders {
			t.endIdleSender()
		}
		s = &sender{address: address, queue: make(chan *wasabistandv1.GroupMessage, maxQueuedMessages)}
		s.ctx, s.cancel = context.WithCancel(t.ctx)
		t.senders[address] = s
		t.wait.Go(func() { t.runSender(s) })
	}
	t.sends++
	s.lastSend = t.sends
	for _, m := range list {
		select {
		case s.queue <- m:
		default:
			return
		}
	}
}

// endIdleSender ends the sender that has been idle for longest.
func (t *transport) endIdleSender() {
	var idle *sender
	for _, s := range t.senders {
		if idle == nil || s.lastSend < idle.lastSend {
			idle = s
		}
	}
	idle.cancel()
	delete(t.senders, idle.address)
}

func (t *transport) runSender(s *sender) {
	defer s.cancel()
	var stream *groupStream
	defer func() { stream.close() }()
	for {
		f := &wasabistandv1.GroupFrame{Group: t.group, Cluster: t.cluster}
		select {
		case <-s.ctx.Done():
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
			stream.close()
			stream = nil
		}
		if stream == nil {
			stream = t.openStream(s)
		}
		if stream == nil {
			continue
		}
		if stream.send(f) != nil {
			stream.close()
			stream = nil
			continue
		}
		t.sent.add(sentLog, size)
	}
}

func (t *transport) openStream(s *sender) *groupStream {
	ctx, cancel := context.WithTimeout(s.ctx, groupDialTimeout)
	defer cancel()
	link, err := t.pool.Get(ctx, s.address)
	if err != nil {
		return nil
	}
	stream, err := link.Open(wasabistandv1.StreamOpen_KIND_GROUP)
	if err != nil {
		return nil
	}
	out := &groupStream{Stream: stream}
	// A send that waits for the peer ends with the sender.
	out.stop = context.AfterFunc(s.ctx, out.abort)
	return out
}

// groupStream is a stream to one member. Sends are bounded in time.
type groupStream struct {
	*wasabilink.Stream
	stop func() bool
}

func (g *groupStream) send(f *wasabistandv1.GroupFrame) error {
	if err := g.SetDeadline(time.Now().Add(groupSendTimeout)); err != nil {
		return err
	}
	return g.Send(f)
}

// abort ends a pending send and closes the stream.
func (g *groupStream) abort() {
	_ = g.SetDeadline(time.Now())
	_ = g.Close()
}

// close closes the stream. A nil stream is closed already.
func (g *groupStream) close() {
	if g != nil {
		g.stop()
		g.abort()
	}
}

func (t *transport) close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.cancel()
	t.wait.Wait()
}
