package wasabicontrol

import (
	"context"
	"errors"
	"slices"
	"time"

	"connectrpc.com/connect"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/internal/policy/wasabiform"
	"github.com/wasabistand/wasabistand/wasabilink"
	"github.com/wasabistand/wasabistand/wasabiraft"
)

const (
	// formEvery is how often a leader looks at its members, and an instance
	// that has no leader asks to be taken in.
	formEvery = 250 * time.Millisecond
	// leaderlessFor is how long a member goes without a leader before it asks
	// whether it still is one: above several elections.
	leaderlessFor = 4 * time.Second
	// joinTimeout bounds one question.
	joinTimeout = time.Second
	// reachTimeout bounds the dial to a member that is silent: some round trips
	// between regions.
	reachTimeout = 300 * time.Millisecond
	// maxKnown bounds the addresses at which a group is looked for.
	maxKnown = 32
)

// ErrRemoved is why an instance ends whose disk the group has removed. The
// data folder must be emptied before it joins again.
var ErrRemoved = Error.New("the group has removed this instance's disk")

// former keeps a group complete: at the leader it takes instances in and lets
// silent members make room; elsewhere it asks to be taken in.
type former struct {
	instance *Instance
	group    *group
	options  wasabiform.Options
	decide   *wasabiform.Planner
	known    []string
	noLeader time.Time
	next     int
}

func newFormer(i *Instance, g *group) *former {
	o := wasabiform.NewOptions(i.settings.losses)
	f := &former{instance: i, group: g, options: o, decide: wasabiform.New(o), noLeader: time.Now()}
	for _, m := range g.settings.Members {
		f.known = append(f.known, m.Address)
	}
	return f
}

func (f *former) run(ctx context.Context) {
	t := time.NewTicker(formEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.group.runner.Done():
			return
		case <-t.C:
		}
		if !f.step(ctx) {
			return
		}
	}
}

// step reports false once the group has removed this instance's disk.
func (f *former) step(ctx context.Context) bool {
	s := f.group.runner.Status()
	now := time.Now()
	f.learn(s)
	leads := s.Role == wasabiraft.Leader
	f.decide.SetLeading(now, leads)
	if leads {
		f.noLeader = time.Time{}
		f.replace(ctx, now, s)
		return true
	}
	if s.Leader != "" {
		f.noLeader = time.Time{}
		return true
	}
	if f.noLeader.IsZero() {
		f.noLeader = now
	}
	established := f.established(s)
	if established && now.Sub(f.noLeader) < leaderlessFor {
		return true
	}
	return f.ask(ctx, established)
}

// established reports whether this disk was a counted member once.
func (f *former) established(s wasabiraft.Status) bool { return len(s.Members) > 0 && s.Commit > 0 }

func (f *former) learn(s wasabiraft.Status) {
	for _, m := range s.Members {
		f.know(m.Address)
	}
}

func (f *former) know(address string) {
	if address != "" && address != f.instance.settings.linkAddress && !slices.Contains(f.known, address) && len(f.known) < maxKnown {
		f.known = append(f.known, address)
	}
}

func members(s wasabiraft.Status) []wasabiform.Member {
	list := make([]wasabiform.Member, 0, len(s.Members))
	for _, m := range s.Members {
		list = append(list, wasabiform.Member{ID: m.ID, Voter: m.Voter, StorageKnown: m.Storage != "", CaughtUp: m.Match >= s.Commit, LastContact: m.LastContact})
	}
	return list
}

// replace lets a silent member make room.
func (f *former) replace(ctx context.Context, now time.Time, s wasabiraft.Status) {
	list := members(s)
	// Without a learner nobody can take a member's place.
	waits := slices.ContainsFunc(list, func(m wasabiform.Member) bool { return !m.Voter })
	for k := range list {
		if waits && f.decide.NeedsProbe(now, s.ID, list[k]) {
			list[k].Reachable = f.reachable(ctx, s.Members[k].Address)
		}
	}
	id := f.decide.Remove(now, s.ID, list)
	if id == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	err := f.group.runner.ChangeMembers(ctx, wasabiraft.MemberChange{Remove: id})
	f.instance.log.Warn().Str("Member", id).Int("Members", len(s.Members)).AnErr("Error", err).Msg("silent member removed")
}

// reachable reports whether the process of a member answers.
func (f *former) reachable(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	l, err := f.instance.pool.Get(ctx, address)
	return err == nil && l.Usable()
}

// ask asks one of the known addresses to be taken in.
func (f *former) ask(ctx context.Context, established bool) bool {
	if len(f.known) == 0 {
		return true
	}
	address := f.known[f.next%len(f.known)]
	f.next++
	answer, err := f.instance.askJoin(ctx, address, established)
	if answer.GetOutcome() == wasabistandv1.JoinResponse_OUTCOME_NOT_LEADER && answer.GetLeaderAddress() != "" {
		address = answer.GetLeaderAddress()
		f.know(address)
		answer, err = f.instance.askJoin(ctx, address, established)
	}
	for _, a := range answer.GetAddresses() {
		f.know(a)
	}
	f.instance.log.Info().Str("Address", address).Bool("Established", established).
		Str("Outcome", answer.GetOutcome().String()).AnErr("Error", err).Msg("asked to join")
	if answer.GetOutcome() == wasabistandv1.JoinResponse_OUTCOME_REMOVED {
		f.instance.removed()
		return false
	}
	return true
}

// askJoin sends one question.
func (i *Instance) askJoin(ctx context.Context, address string, established bool) (*wasabistandv1.JoinResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	link, err := i.pool.Get(ctx, address)
	if err != nil {
		return nil, err
	}
	s, err := link.Open(wasabistandv1.StreamOpen_KIND_JOIN)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	_ = s.SetDeadline(time.Now().Add(joinTimeout))
	if err := s.Send(&wasabistandv1.JoinRequest{
		Group: RootGroup, Cluster: i.settings.cluster, Id: i.settings.id, Address: i.settings.linkAddress, Established: established,
	}); err != nil {
		return nil, err
	}
	answer := new(wasabistandv1.JoinResponse)
	return answer, s.Receive(answer)
}

// serveJoin answers one question.
func (i *Instance) serveJoin(ctx context.Context, s *wasabilink.Stream) {
	_ = s.SetDeadline(time.Now().Add(joinTimeout))
	var r wasabistandv1.JoinRequest
	if s.Receive(&r) != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	answer, err := i.join(ctx, &r)
	if err != nil {
		i.log.Warn().Str("Member", r.GetId()).Str("Address", r.GetAddress()).Err(err).Msg("join not decided")
	}
	_ = s.Send(answer)
	// Closing before the peer has read would lose the answer.
	_ = s.Receive(new(wasabistandv1.JoinRequest))
}

// join decides on one question at the leader.
func (i *Instance) join(ctx context.Context, r *wasabistandv1.JoinRequest) (*wasabistandv1.JoinResponse, error) {
	answer := &wasabistandv1.JoinResponse{Outcome: wasabistandv1.JoinResponse_OUTCOME_WAIT}
	g := i.groups[r.GetGroup()]
	if g == nil || r.GetCluster() != i.settings.cluster || r.GetId() == "" {
		return answer, wasabistand.ErrInvalid.New("group %q of cluster %q, member %q: not served", r.GetGroup(), r.GetCluster(), r.GetId())
	}
	status := g.runner.Status()
	known := false
	for _, m := range status.Members {
		answer.Addresses = append(answer.Addresses, m.Address)
		known = known || m.ID == r.GetId()
	}
	if status.Role != wasabiraft.Leader {
		answer.Outcome = wasabistandv1.JoinResponse_OUTCOME_NOT_LEADER
		_, answer.LeaderAddress = g.runner.Leader()
		return answer, nil
	}
	if known {
		answer.Outcome = wasabistandv1.JoinResponse_OUTCOME_MEMBER
		return answer, nil
	}
	if r.GetEstablished() {
		// Only a confirmed list may cost a disk.
		if err := g.confirmer.confirm(ctx); err != nil {
			return answer, err
		}
		answer.Outcome = wasabistandv1.JoinResponse_OUTCOME_REMOVED
		return answer, nil
	}
	if !wasabiform.New(wasabiform.NewOptions(i.settings.losses)).HasRoom(members(status)) {
		return answer, nil
	}
	err := g.runner.ChangeMembers(ctx, wasabiraft.MemberChange{Add: &wasabistandv1.Member{Id: r.GetId(), Address: r.GetAddress()}})
	if err == nil {
		i.log.Info().Str("Member", r.GetId()).Str("Address", r.GetAddress()).Msg("member taken in")
		answer.Outcome = wasabistandv1.JoinResponse_OUTCOME_MEMBER
	}
	return answer, err
}

// removed ends the instance's part in the group once.
func (i *Instance) removed() {
	i.log.Error().Err(ErrRemoved).Msg("control instance must start on an empty folder")
	i.removedOnce.Do(func() { close(i.removedSignal) })
}

// Removed is closed when the group has removed this instance's disk: the
// instance must be closed and started again on an empty data folder.
func (i *Instance) Removed() <-chan struct{} { return i.removedSignal }

// durable reports whether what the group accepts now outlives the losses that
// it is meant to bear.
func (i *Instance) durable(g *group) error {
	if i.settings.losses == 0 {
		return nil
	}
	voters := 0
	for _, m := range g.runner.Status().Members {
		if m.Voter {
			voters++
		}
	}
	if o := wasabiform.NewOptions(i.settings.losses); !o.Durable(voters) {
		return wasabistand.ErrNotLeader.New("%d voters so far, the loss of %d disks needs more", voters, i.settings.losses)
	}
	return nil
}

// Apply acts on an operator's command as the API does, for operators that
// are known by other means than a token.
func (i *Instance) Apply(ctx context.Context, operator string, r *wasabistandv1.ApplyRequest) (*wasabistandv1.ApplyResponse, error) {
	if err := checkDocument(r.GetToml()); err != nil {
		return nil, err
	}
	m, err := i.run(ctx, command{method: applyMethod, group: RootGroup, operator: operator, request: r, response: new(wasabistandv1.ApplyResponse)})
	if err != nil {
		return nil, err
	}
	return m.(*wasabistandv1.ApplyResponse), nil
}

// Configuration returns the latest document, confirmed by a quorum.
func (i *Instance) Configuration(ctx context.Context) (revision uint64, toml string, err error) {
	root := i.groups[RootGroup]
	if err := root.confirmer.confirm(ctx); err != nil {
		return 0, "", err
	}
	d, _ := root.machine.document(0)
	return d.Revision, d.TOML, nil
}

// IsConflict reports whether a command lost a race.
func IsConflict(err error) bool { return errors.Is(err, errConflict) }

// CodeOf returns the code that the API gives for an error.
func CodeOf(err error) connect.Code { return codeOf(err) }

// Ready reports whether a quorum confirmed this instance's state lately.
func (i *Instance) Ready() bool { return i.confirmed() && !i.stopping.Load() }
