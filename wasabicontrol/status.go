package wasabicontrol

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/wasabiwire"
)

func checkMember(m *wasabistandv1.MemberAddress) error {
	if n := len(m.GetId()); n < 1 || n > wasabiwire.MaxNameBytes {
		return wasabistand.ErrInvalid.New("add.id: %d bytes, allowed are 1 to %d", n, wasabiwire.MaxNameBytes)
	}
	if _, err := netip.ParseAddrPort(m.GetAddress()); err != nil {
		return wasabistand.ErrInvalid.New("add.address: %q, allowed is IP:port", m.GetAddress())
	}
	return nil
}

// status returns the state of a group as known to this instance.
func (g *group) status(now time.Time) *wasabistandv1.GroupStatus {
	s := g.runner.Status()
	out := &wasabistandv1.GroupStatus{Name: g.settings.Name, Leader: s.Leader, Term: s.Term, CommitIndex: s.Commit}
	for _, m := range s.Members {
		k := &wasabistandv1.MemberStatus{Id: m.ID, Address: m.Address, Voter: m.Voter, MatchIndex: m.Match}
		if !m.LastContact.IsZero() && m.ID != s.Leader {
			k.HeardMsAgo = uint64(max(now.Sub(m.LastContact).Milliseconds(), 0))
		}
		out.Members = append(out.Members, k)
	}
	return out
}

// status returns the state of the cluster after root's quorum has confirmed it.
// Only the leader of a group tracks the match index and the time of last contact
// of its members.
func (i *Instance) status(ctx context.Context) (*wasabistandv1.StatusResponse, error) {
	root := i.groups[RootGroup]
	if err := root.confirmer.confirm(ctx); err != nil {
		return nil, err
	}
	c := root.machine.current.Load()
	now := time.Now()
	out := &wasabistandv1.StatusResponse{Revision: c.revision}
	for _, g := range i.settings.groups {
		if localGroup := i.groups[g.Name]; localGroup != nil {
			out.Groups = append(out.Groups, localGroup.status(now))
		}
	}
	var err error
	if out.Instances, err = i.instances("", c); err != nil {
		return nil, err
	}
	i.hub.do(func() { out.OutOfReach = slices.Sorted(maps.Keys(i.hub.lostAt)) })
	for _, m := range out.Instances {
		if m.GetRevisionInForce() < c.revision {
			out.Lagging = append(out.Lagging, m.GetId())
		}
		if m.GetSuspect() || m.GetRenewedMsAgo() > uint64(i.settings.lease.Milliseconds()) {
			out.OutOfReach = append(out.OutOfReach, m.GetId())
		}
	}
	return out, nil
}

// instances returns the announced instances and marks those that are drained.
func (i *Instance) instances(service string, c *configuration) ([]*wasabistandv1.Instance, error) {
	var list []*wasabistandv1.Instance
	ran := i.hub.do(func() {
		now := time.Now()
		for _, k := range i.hub.registry.List(service) {
			m := wasabiwire.FromInstance(k)
			if at, ok := i.hub.registry.LastRenewal(k.ID); ok {
				m.RenewedMsAgo = uint64(max(now.Sub(at).Milliseconds(), 0))
			}
			_, m.Drained = slices.BinarySearch(c.drained, k.ID)
			list = append(list, m)
		}
	})
	if !ran {
		return nil, wasabistand.ErrNotConfirmed.New("stopping")
	}
	return list, nil
}
