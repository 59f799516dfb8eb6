package wasabicontrol

import (
	"context"
	"slices"
	"sync"
	"time"

	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/internal/policy/wasabiform"
	"github.com/wasabistand/wasabistand/wasabiraft"
)

const (
	// maxJoinTargets bounds the members that are asked in one round, and the further
	// addresses. With as many losses as are tolerated, at least one member responds.
	maxJoinTargets = 4
	// joinRoundTimeout bounds one round, so that addresses that do not respond delay
	// the next round little.
	joinRoundTimeout = 500 * time.Millisecond
)

// recordSeeking publishes since when the instance has requested to join, and logs the
// end.
func (mm *membershipManager) recordSeeking(seeking bool) {
	before := mm.seekingSince.Load()
	switch {
	case seeking && before == nil:
		since := mm.seeker.Since()
		mm.seekingSince.Store(&since)
	case !seeking && before != nil:
		mm.seekingSince.Store(nil)
		mm.instance.log.Info().Dur("After", time.Since(*before)).Msg("control instance is a member")
	}
}

// wasMember reports whether this disk has been a member of the group.
func (mm *membershipManager) wasMember(s wasabiraft.Status) bool {
	return len(s.Members) > 0 && s.Commit > 0
}

// joinAnswer is the answer to one join request.
type joinAnswer struct {
	address  string
	response *wasabistandv1.JoinResponse
	err      error
}

// requestJoin runs one round of join requests: it asks several known addresses at the
// same time, and the leader that they name. It returns once a leader has answered, or
// all requests have ended.
func (mm *membershipManager) requestJoin(ctx context.Context, established bool) {
	ctx, cancel := context.WithTimeout(ctx, joinRoundTimeout)
	var requests sync.WaitGroup
	defer requests.Wait()
	defer cancel()
	answers := make(chan joinAnswer)
	var asked []string
	ask := func(address string) {
		if address == "" || slices.Contains(asked, address) {
			return
		}
		asked = append(asked, address)
		requests.Go(func() {
			response, err := mm.instance.sendJoinRequest(ctx, address, &wasabistandv1.JoinRequest{Established: established})
			select {
			case answers <- joinAnswer{address, response, err}:
			case <-ctx.Done():
			}
		})
	}
	for _, address := range mm.knownAddresses().Round(mm.round, maxJoinTargets) {
		ask(address)
	}
	mm.round++
	last := joinAnswer{}
	for received := 0; received < len(asked) && !isLeaderAnswer(last.response); received++ {
		select {
		case last = <-answers:
			mm.addHints(last.response.GetAddresses()...)
			mm.addHints(last.response.GetLeaderAddress())
			ask(last.response.GetLeaderAddress())
		case <-ctx.Done():
			received = len(asked)
		}
	}
	if last.response.GetOutcome() == wasabistandv1.JoinResponse_OUTCOME_MEMBER {
		mm.seeker.Confirm()
	}
	mm.instance.log.Info().Int("Asked", len(asked)).Bool("Established", established).Str("Address", last.address).
		Str("Outcome", last.response.GetOutcome().String()).AnErr("Error", last.err).Msg("requested to join")
}

// isLeaderAnswer reports whether a leader has decided on a join request.
func isLeaderAnswer(r *wasabistandv1.JoinResponse) bool {
	switch r.GetOutcome() {
	case wasabistandv1.JoinResponse_OUTCOME_MEMBER, wasabistandv1.JoinResponse_OUTCOME_WAIT:
		return true
	}
	return false
}

// setMemberAddresses records the addresses of the member list that this instance holds.
func (mm *membershipManager) setMemberAddresses(s wasabiraft.Status) {
	var list []string
	for _, m := range s.Members {
		if m.ID != s.ID {
			list = append(list, m.Address)
		}
	}
	mm.mu.Lock()
	defer mm.mu.Unlock()
	mm.addresses = mm.addresses.WithMembers(list...)
}

// addHints records addresses at which the group may be found.
func (mm *membershipManager) addHints(list ...string) {
	mm.mu.Lock()
	defer mm.mu.Unlock()
	mm.addresses = mm.addresses.WithHints(list...).Without(mm.instance.settings.linkAddress)
}

func (mm *membershipManager) knownAddresses() wasabiform.Addresses {
	mm.mu.Lock()
	defer mm.mu.Unlock()
	return mm.addresses
}

// AddControlAddresses adds link addresses at which the instance may find its group, such
// as those of settings that were read again.
func (i *Instance) AddControlAddresses(list ...string) {
	if i.membership != nil {
		i.membership.addHints(list...)
	}
}

// KnownAddresses returns the link addresses at which the instance may find its group, for
// Parts.KnownAddresses of an instance that is opened after it.
func (i *Instance) KnownAddresses() []string {
	if i.membership == nil {
		return i.parts.KnownAddresses
	}
	return i.membership.knownAddresses().All()
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
	stop := context.AfterFunc(ctx, func() { _ = s.SetDeadline(time.Now()) })
	defer stop()
	r.Group, r.Cluster, r.Id, r.Address = RootGroup, i.settings.cluster, i.settings.id, i.settings.linkAddress
	r.Storage = i.folder.Identity().Storage
	if err := s.Send(r); err != nil {
		return nil, err
	}
	response := new(wasabistandv1.JoinResponse)
	return response, s.Receive(response)
}
