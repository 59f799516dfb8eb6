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
	// membershipInterval is how often a leader checks its members, and how
	// often an instance without a leader requests to join.
	membershipInterval = 250 * time.Millisecond
	// leaderlessTimeout is how long a member is without a leader before it
	// asks whether it is still a member: longer than several elections.
	leaderlessTimeout = 4 * time.Second
	// joinTimeout bounds one join request or membership change.
	joinTimeout = time.Second
	// probeTimeout bounds the dial to a silent member: several round trips
	// between regions.
	probeTimeout = 300 * time.Millisecond
	// maxKnownAddresses bounds the addresses to which join requests are sent.
	maxKnownAddresses = 32
)

// ErrRemoved reports that the group has removed this instance's disk. The data
// folder must be emptied before the instance joins again.
var ErrRemoved = Error.New("the group has removed this instance's disk")

// membershipManager maintains the members of a group. At the leader it removes
// silent members so that others can replace them; on an instance without a
// leader it requests to join. Join requests are decided by handleJoin.
type membershipManager struct {
	instance        *Instance
	group           *group
	planner         *wasabiform.Planner
	addresses       []string // known members, to which join requests are sent
	leaderlessSince time.Time
	nextAddress     int
}

func newMembershipManager(i *Instance, g *group) *membershipManager {
	o := wasabiform.NewOptions(i.settings.maxDiskLosses)
	mm := &membershipManager{instance: i, group: g, planner: wasabiform.New(o), leaderlessSince: time.Now()}
	for _, m := range g.settings.Members {
		mm.addresses = append(mm.addresses, m.Address)
	}
	return mm
}

func (mm *membershipManager) run(ctx context.Context) {
	t := time.NewTicker(membershipInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-mm.group.runner.Done():
			return
		case <-t.C:
		}
		if !mm.step(ctx) {
			return
		}
	}
}

// step runs one check. It returns false once the group has removed this
// instance's disk.
func (mm *membershipManager) step(ctx context.Context) bool {
	s := mm.group.runner.Status()
	now := time.Now()
	mm.addMemberAddresses(s)
	isLeader := s.Role == wasabiraft.Leader
	mm.planner.SetLeading(now, isLeader)
	if isLeader {
		mm.leaderlessSince = time.Time{}
		mm.removeSilentMember(ctx, now, s)
		return true
	}
	if s.Leader != "" {
		mm.leaderlessSince = time.Time{}
		return true
	}
	if mm.leaderlessSince.IsZero() {
		mm.leaderlessSince = now
	}
	established := mm.wasMember(s)
	if established && now.Sub(mm.leaderlessSince) < leaderlessTimeout {
		return true
	}
	return mm.requestJoin(ctx, established)
}

// wasMember reports whether this disk has been a member of the group.
func (mm *membershipManager) wasMember(s wasabiraft.Status) bool {
	return len(s.Members) > 0 && s.Commit > 0
}

func (mm *membershipManager) addMemberAddresses(s wasabiraft.Status) {
	for _, m := range s.Members {
		mm.addAddress(m.Address)
	}
}

func (mm *membershipManager) addAddress(address string) {
	if address != "" && address != mm.instance.settings.linkAddress && !slices.Contains(mm.addresses, address) && len(mm.addresses) < maxKnownAddresses {
		mm.addresses = append(mm.addresses, address)
	}
}

// plannerMembers converts the members of a status for the planner.
func plannerMembers(s wasabiraft.Status) []wasabiform.Member {
	list := make([]wasabiform.Member, 0, len(s.Members))
	for _, m := range s.Members {
		list = append(list, wasabiform.Member{ID: m.ID, Voter: m.Voter, StorageKnown: m.Storage != "", CaughtUp: m.Match >= s.Commit, LastContact: m.LastContact})
	}
	return list
}

// removeSilentMember removes a silent member if another one can replace it.
func (mm *membershipManager) removeSilentMember(ctx context.Context, now time.Time, s wasabiraft.Status) {
	list := plannerMembers(s)
	// Without a learner, no instance can replace a member.
	hasLearner := slices.ContainsFunc(list, func(m wasabiform.Member) bool { return !m.Voter })
	for k := range list {
		if hasLearner && mm.planner.NeedsProbe(now, s.ID, list[k]) {
			list[k].Reachable = mm.isReachable(ctx, s.Members[k].Address)
		}
	}
	id := mm.planner.Remove(now, s.ID, list)
	if id == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	err := mm.group.runner.ChangeMembers(ctx, wasabiraft.MemberChange{Remove: id})
	mm.instance.log.Warn().Str("Member", id).Int("Members", len(s.Members)).AnErr("Error", err).Msg("silent member removed")
}

// isReachable reports whether the process of a member accepts a link.
func (mm *membershipManager) isReachable(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	l, err := mm.instance.pool.Get(ctx, address)
	return err == nil && l.Usable()
}

// requestJoin sends a join request to the next known address, and to the leader
// if the response names one. It returns false if the group has removed this
// instance's disk.
func (mm *membershipManager) requestJoin(ctx context.Context, established bool) bool {
	if len(mm.addresses) == 0 {
		return true
	}
	address := mm.addresses[mm.nextAddress%len(mm.addresses)]
	mm.nextAddress++
	response, err := mm.instance.sendJoinRequest(ctx, address, established)
	if response.GetOutcome() == wasabistandv1.JoinResponse_OUTCOME_NOT_LEADER && response.GetLeaderAddress() != "" {
		address = response.GetLeaderAddress()
		mm.addAddress(address)
		response, err = mm.instance.sendJoinRequest(ctx, address, established)
	}
	for _, a := range response.GetAddresses() {
		mm.addAddress(a)
	}
	mm.instance.log.Info().Str("Address", address).Bool("Established", established).
		Str("Outcome", response.GetOutcome().String()).AnErr("Error", err).Msg("requested to join")
	if response.GetOutcome() == wasabistandv1.JoinResponse_OUTCOME_REMOVED {
		mm.instance.signalRemoved()
		return false
	}
	return true
}

// sendJoinRequest sends one join request.
func (i *Instance) sendJoinRequest(ctx context.Context, address string, established bool) (*wasabistandv1.JoinResponse, error) {
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
	response := new(wasabistandv1.JoinResponse)
	return response, s.Receive(response)
}

// serveJoin handles one join request.
func (i *Instance) serveJoin(ctx context.Context, s *wasabilink.Stream) {
	_ = s.SetDeadline(time.Now().Add(joinTimeout))
	var r wasabistandv1.JoinRequest
	if s.Receive(&r) != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	response, err := i.handleJoin(ctx, &r)
	if err != nil {
		i.log.Warn().Str("Member", r.GetId()).Str("Address", r.GetAddress()).Err(err).Msg("join request not decided")
	}
	_ = s.Send(response)
	// Closing the stream before the peer has read would lose the response.
	_ = s.Receive(new(wasabistandv1.JoinRequest))
}

// handleJoin decides on one join request if this instance leads the group.
func (i *Instance) handleJoin(ctx context.Context, r *wasabistandv1.JoinRequest) (*wasabistandv1.JoinResponse, error) {
	response := &wasabistandv1.JoinResponse{Outcome: wasabistandv1.JoinResponse_OUTCOME_WAIT}
	g := i.groups[r.GetGroup()]
	if g == nil || r.GetCluster() != i.settings.cluster || r.GetId() == "" {
		return response, wasabistand.ErrInvalid.New("group %q of cluster %q, member %q: not served", r.GetGroup(), r.GetCluster(), r.GetId())
	}
	status := g.runner.Status()
	isMember := false
	for _, m := range status.Members {
		response.Addresses = append(response.Addresses, m.Address)
		isMember = isMember || m.ID == r.GetId()
	}
	if status.Role != wasabiraft.Leader {
		response.Outcome = wasabistandv1.JoinResponse_OUTCOME_NOT_LEADER
		_, response.LeaderAddress = g.runner.Leader()
		return response, nil
	}
	if isMember {
		response.Outcome = wasabistandv1.JoinResponse_OUTCOME_MEMBER
		return response, nil
	}
	if r.GetEstablished() {
		// The requester gives up its disk, so the list of members must be
		// confirmed by the quorum.
		if err := g.confirmer.confirm(ctx); err != nil {
			return response, err
		}
		response.Outcome = wasabistandv1.JoinResponse_OUTCOME_REMOVED
		return response, nil
	}
	if !wasabiform.New(wasabiform.NewOptions(i.settings.maxDiskLosses)).HasRoom(plannerMembers(status)) {
		return response, nil
	}
	err := g.runner.ChangeMembers(ctx, wasabiraft.MemberChange{Add: &wasabistandv1.Member{Id: r.GetId(), Address: r.GetAddress()}})
	if err == nil {
		i.log.Info().Str("Member", r.GetId()).Str("Address", r.GetAddress()).Msg("member added")
		response.Outcome = wasabistandv1.JoinResponse_OUTCOME_MEMBER
	}
	return response, err
}

// signalRemoved closes the channel of Removed once.
func (i *Instance) signalRemoved() {
	i.log.Error().Err(ErrRemoved).Msg("control instance must be restarted with an empty data folder")
	i.removedOnce.Do(func() { close(i.removedSignal) })
}

// Removed returns a channel that is closed when the group has removed this
// instance's disk. The instance must then be closed and started again with an
// empty data folder.
func (i *Instance) Removed() <-chan struct{} { return i.removedSignal }

// checkDurable returns an error while the group has too few voters for a
// committed entry to survive the disk losses that it must tolerate.
func (i *Instance) checkDurable(g *group) error {
	if i.settings.maxDiskLosses == 0 {
		return nil
	}
	voters := 0
	for _, m := range g.runner.Status().Members {
		if m.Voter {
			voters++
		}
	}
	if o := wasabiform.NewOptions(i.settings.maxDiskLosses); !o.Durable(voters) {
		return wasabistand.ErrNotLeader.New("%d voters so far, the loss of %d disks needs more", voters, i.settings.maxDiskLosses)
	}
	return nil
}

// Apply executes an operator's command as the API does, for operators that are
// authenticated by other means than a token.
func (i *Instance) Apply(ctx context.Context, operator string, r *wasabistandv1.ApplyRequest) (*wasabistandv1.ApplyResponse, error) {
	if err := checkDocument(r.GetToml()); err != nil {
		return nil, err
	}
	m, err := i.execute(ctx, command{method: applyMethod, group: RootGroup, operator: operator, request: r, response: new(wasabistandv1.ApplyResponse)})
	if err != nil {
		return nil, err
	}
	return m.(*wasabistandv1.ApplyResponse), nil
}

// Configuration returns the latest document after the quorum has confirmed the
// local state.
func (i *Instance) Configuration(ctx context.Context) (revision uint64, toml string, err error) {
	root := i.groups[RootGroup]
	if err := root.confirmer.confirm(ctx); err != nil {
		return 0, "", err
	}
	d, _ := root.machine.document(0)
	return d.Revision, d.TOML, nil
}

// IsConflict reports whether an error means that the command lost a race
// against another one.
func IsConflict(err error) bool { return errors.Is(err, errConflict) }

// CodeOf returns the code that the API returns for an error.
func CodeOf(err error) connect.Code { return codeOf(err) }

// Ready reports whether the instance is not stopping and a quorum confirmed its
// state recently.
func (i *Instance) Ready() bool { return i.hasRecentQuorum() && !i.stopping.Load() }
