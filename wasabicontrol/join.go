package wasabicontrol

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
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
	// maxStorageBytes bounds the storage identity in a join request.
	maxStorageBytes = 64
	// joinTimeout bounds one join request or membership change.
	joinTimeout = time.Second
	// probeTimeout bounds the dial to a silent member: several round trips
	// between regions.
	probeTimeout = 300 * time.Millisecond
)

// membershipManager maintains the members of a group. At the leader it removes
// members that are silent or leave, once others have taken their places; on an instance
// that may be no member it requests to join. Join requests are decided by handleJoin.
type membershipManager struct {
	instance *Instance
	group    *group
	options  wasabiform.Options
	planner  *wasabiform.Planner
	seeker   *wasabiform.Seeker
	round    int // of join requests
	wake     chan struct{}
	// seekingSince is when the instance began to request to join, nil while it does not.
	seekingSince atomic.Pointer[time.Time]

	mu sync.Mutex
	// addresses are those to which join requests are sent.
	addresses wasabiform.Addresses
	// leaving holds the members that asked to be replaced, with the time of the
	// latest request.
	leaving map[string]time.Time
}

func newMembershipManager(i *Instance, g *group) *membershipManager {
	o := wasabiform.NewOptions(i.settings.maxDiskLosses)
	mm := &membershipManager{instance: i, group: g, options: o, planner: wasabiform.New(o), seeker: wasabiform.NewSeeker(), wake: make(chan struct{}, 1), leaving: map[string]time.Time{}}
	for _, m := range g.settings.Members {
		mm.addHints(m.Address)
	}
	mm.addHints(i.parts.KnownAddresses...)
	return mm
}

func (mm *membershipManager) run(ctx context.Context) {
	t := time.NewTicker(membershipInterval)
	defer t.Stop()
	for {
		mm.step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-mm.group.runner.Done():
			return
		case <-t.C:
		case <-mm.wake:
		}
	}
}

// step runs one check.
func (mm *membershipManager) step(ctx context.Context) {
	s := mm.group.runner.Status()
	now := time.Now()
	mm.setMemberAddresses(s)
	isLeader := s.Role == wasabiraft.Leader
	mm.planner.SetLeading(now, isLeader)
	if isLeader {
		mm.seeker.Confirm()
		mm.recordSeeking(mm.seeker.ShouldAsk(now, now))
		mm.removeReplaced(ctx, now, s)
		return
	}
	if mm.instance.handingOver.Load() {
		return
	}
	seeking := mm.seeker.ShouldAsk(now, s.LeaderContact)
	mm.recordSeeking(seeking)
	if seeking {
		mm.requestJoin(ctx, mm.wasMember(s))
	}
}

// plannerMembers converts the members of a status for the planner.
func plannerMembers(s wasabiraft.Status) []wasabiform.Member {
	list := make([]wasabiform.Member, 0, len(s.Members))
	for _, m := range s.Members {
		list = append(list, wasabiform.Member{ID: m.ID, Storage: m.Storage, Voter: m.Voter, LastContact: m.LastContact, CaughtUpAt: m.CaughtUpAt, Led: m.Led})
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
	if n := len(r.GetStorage()); n < 1 || n > maxStorageBytes {
		return response, wasabistand.ErrInvalid.New("storage: %d bytes, allowed are 1 to %d", n, maxStorageBytes)
	}
	status := g.runner.Status()
	for _, m := range status.Members {
		response.Addresses = append(response.Addresses, m.Address)
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
	planner := wasabiform.New(wasabiform.NewOptions(i.settings.maxDiskLosses))
	switch planner.Admit(plannerMembers(status), r.GetId(), r.GetStorage(), r.GetEstablished()) {
	case wasabiform.Listed:
		response.Outcome = wasabistandv1.JoinResponse_OUTCOME_MEMBER
		return response, nil
	case wasabiform.Full:
		return response, nil
	}
	m := &wasabistandv1.Member{Id: r.GetId(), Address: r.GetAddress(), Storage: r.GetStorage()}
	if err := g.runner.ChangeMembers(ctx, wasabiraft.MemberChange{Add: m}); err != nil {
		return response, err
	}
	i.log.Info().Str("Member", r.GetId()).Str("Address", r.GetAddress()).Bool("Established", r.GetEstablished()).Msg("member added")
	response.Outcome = wasabistandv1.JoinResponse_OUTCOME_MEMBER
	return response, nil
}

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
