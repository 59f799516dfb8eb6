package wasabicontrol

import (
	"context"
	"errors"
	"slices"
	"sync"
	"syscall"
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
// members that are silent or leave, once others have taken their places; on an instance
// without a leader it requests to join. Join requests are decided by handleJoin.
type membershipManager struct {
	instance        *Instance
	group           *group
	options         wasabiform.Options
	planner         *wasabiform.Planner
	addresses       []string // known members, to which join requests are sent
	leaderlessSince time.Time
	nextAddress     int
	wake            chan struct{}

	mu sync.Mutex
	// leaving holds the members that asked to be replaced, with the time of the
	// latest request.
	leaving map[string]time.Time
}

func newMembershipManager(i *Instance, g *group) *membershipManager {
	o := wasabiform.NewOptions(i.settings.maxDiskLosses)
	mm := &membershipManager{instance: i, group: g, options: o, planner: wasabiform.New(o), leaderlessSince: time.Now(), wake: make(chan struct{}, 1), leaving: map[string]time.Time{}}
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
		case <-mm.wake:
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
		mm.removeReplaced(ctx, now, s)
		return true
	}
	if mm.instance.handingOver.Load() {
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
		list = append(list, wasabiform.Member{ID: m.ID, Voter: m.Voter, LastContact: m.LastContact, Led: m.Led})
	}
	return list
}

// maxRemovalsPerStep bounds the members that are removed without a pause.
const maxRemovalsPerStep = 8

// removeReplaced removes members that are silent or leave, while others have taken their
// places.
func (mm *membershipManager) removeReplaced(ctx context.Context, now time.Time, s wasabiraft.Status) {
	for range maxRemovalsPerStep {
		list := mm.observe(ctx, now, s)
		id := mm.planner.Remove(now, s.ID, list)
		if id == "" || !mm.remove(ctx, id, list) {
			return
		}
		if now, s = time.Now(), mm.group.runner.Status(); s.Role != wasabiraft.Leader {
			return
		}
	}
}

// observe returns the members as the planner needs them. Silent ones are probed.
func (mm *membershipManager) observe(ctx context.Context, now time.Time, s wasabiraft.Status) []wasabiform.Member {
	list := plannerMembers(s)
	var probes sync.WaitGroup
	for k := range list {
		m := &list[k]
		m.Leaving = mm.isLeaving(now, m.ID)
		// Without further members, no instance can replace another.
		if len(list) > mm.options.Voters() && mm.planner.NeedsProbe(now, s.ID, *m) {
			probes.Go(func() { m.Reachable, m.Refused = mm.probe(ctx, s.Members[k].Address) })
		}
	}
	probes.Wait()
	return list
}

// remove removes a member. It returns false if that failed.
func (mm *membershipManager) remove(ctx context.Context, id string, list []wasabiform.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	err := mm.group.runner.ChangeMembers(ctx, wasabiraft.MemberChange{Remove: id})
	for _, m := range list {
		if m.ID == id {
			mm.instance.log.Warn().Str("Member", id).Int("Members", len(list)).Bool("Voter", m.Voter).Bool("Leaving", m.Leaving).
				Bool("Refused", m.Refused).Dur("Silence", time.Since(m.LastContact)).AnErr("Error", err).Msg("member removed")
		}
	}
	return err == nil
}

// probe reports whether the process of a member accepts a link, and whether its machine
// refuses the connection.
func (mm *membershipManager) probe(ctx context.Context, address string) (reachable, refused bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	l, err := mm.instance.pool.Get(ctx, address)
	return err == nil && l.Usable(), errors.Is(err, syscall.ECONNREFUSED)
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
	response, address, err := mm.instance.askLeader(ctx, address, &wasabistandv1.JoinRequest{Established: established})
	mm.addAddress(address)
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

// askLeader sends a request to an instance, and to the leader if the response names one.
// It returns the address that responded last.
func (i *Instance) askLeader(ctx context.Context, address string, r *wasabistandv1.JoinRequest) (*wasabistandv1.JoinResponse, string, error) {
	response, err := i.sendJoinRequest(ctx, address, r)
	if response.GetOutcome() == wasabistandv1.JoinResponse_OUTCOME_NOT_LEADER && response.GetLeaderAddress() != "" {
		address = response.GetLeaderAddress()
		response, err = i.sendJoinRequest(ctx, address, r)
	}
	return response, address, err
}

// sendJoinRequest sends one join request of this instance.
func (i *Instance) sendJoinRequest(ctx context.Context, address string, r *wasabistandv1.JoinRequest) (*wasabistandv1.JoinResponse, error) {
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
	r.Group, r.Cluster, r.Id, r.Address = RootGroup, i.settings.cluster, i.settings.id, i.settings.linkAddress
	if err := s.Send(r); err != nil {
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
	if r.GetLeaving() {
		response.Outcome = wasabistandv1.JoinResponse_OUTCOME_STAYS
		if mm := i.membership; mm != nil && mm.group == g {
			var err error
			response.Outcome, err = mm.replaceLeaving(ctx, r.GetId(), status)
			return response, err
		}
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
