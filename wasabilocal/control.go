package wasabilocal

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/wasabiconfig"
)

// Control is an in-process fake of the control instances: a directory and a
// claim table that never fail. It is safe for concurrent use.
type Control struct {
	mu            sync.Mutex
	revision      uint64
	configuration *wasabistand.Configuration
	instances     map[string]wasabistand.Instance
	drained       map[string]bool
	view          *wasabistand.View
	changed       chan struct{}
	claims        map[claimKey]*claimEntry
	// roundTrip is the latency of Take. Settle has none.
	roundTrip time.Duration
}

type claimKey struct{ caller, service, key string }

type claimEntry struct {
	owner      string
	claim      wasabistand.Claim
	settled    bool
	settlement wasabistand.Settlement
}

var (
	_ wasabistand.Directory = (*Control)(nil)
	_ wasabistand.Claims    = nodeClaims{}
)

// NewControl returns a fake control. roundTrip is the latency of taking a claim.
func NewControl(roundTrip time.Duration) *Control {
	return &Control{
		instances: map[string]wasabistand.Instance{}, drained: map[string]bool{},
		changed: make(chan struct{}), claims: map[claimKey]*claimEntry{}, roundTrip: roundTrip,
	}
}

// Apply parses a document and makes it the active configuration.
func (c *Control) Apply(_ context.Context, document string) (uint64, error) {
	configuration, err := wasabiconfig.Parse([]byte(document))
	if err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision++
	c.configuration = configuration
	c.publish()
	return c.revision, nil
}

// Drain excludes an instance from routing.
func (c *Control) Drain(_ context.Context, instance string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.instances[instance]; !ok {
		return fmt.Errorf("instance %q is not announced", instance)
	}
	c.drained[instance] = true
	c.publish()
	return nil
}

// Announce records the announcement of a node.
func (c *Control) Announce(i wasabistand.Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.instances[i.ID]
	c.instances[i.ID] = i
	// A change of only the revision or the sequence does not affect routing.
	old.AppliedRevision, old.Sequence = i.AppliedRevision, i.Sequence
	if old != i {
		c.publish()
	}
}

// publish replaces the view and notifies its users. The caller must hold mu.
func (c *Control) publish() {
	v := &wasabistand.View{Revision: c.revision, Configuration: c.configuration, Instances: map[string][]wasabistand.Instance{}}
	for _, id := range slices.Sorted(maps.Keys(c.instances)) {
		i := c.instances[id]
		i.Drained = c.drained[id]
		i.AppliedRevision, i.Sequence = 0, 0
		if i.LinkAddress != "" {
			v.Instances[i.Service] = append(v.Instances[i.Service], i)
		}
	}
	c.view = v
	close(c.changed)
	c.changed = make(chan struct{})
}

// View implements wasabistand.Directory.
func (c *Control) View() *wasabistand.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view
}

// Changed implements wasabistand.Directory.
func (c *Control) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Subscribe implements wasabistand.Directory: every node receives all services.
func (c *Control) Subscribe(string) {}

// Claims returns the claims of the node called owner. The owner distinguishes the
// calls of different nodes, since call numbers are unique only within a node.
func (c *Control) Claims(owner string) wasabistand.Claims { return nodeClaims{c, owner} }

type nodeClaims struct {
	*Control
	owner string
}

// Take implements wasabistand.Claims.
func (c nodeClaims) Take(ctx context.Context, k wasabistand.Claim) (wasabistand.ClaimState, error) {
	t := time.NewTimer(c.roundTrip)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
		return wasabistand.ClaimState{}, wasabistand.NewRefusal(wasabistand.ReasonClaim, ctx.Err().Error())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	id := claimKey{k.Caller, k.Service, k.Key}
	e := c.claims[id]
	switch {
	case e == nil:
		c.claims[id] = &claimEntry{owner: c.owner, claim: k}
		return wasabistand.ClaimState{Status: wasabistand.ClaimGranted}, nil
	case e.claim.Fingerprint != k.Fingerprint:
		return wasabistand.ClaimState{Status: wasabistand.ClaimMismatch}, nil
	case !e.settled:
		return wasabistand.ClaimState{Status: wasabistand.ClaimHeld}, nil
	case e.settlement.Outcome == wasabistand.Answered:
		return wasabistand.ClaimState{Status: wasabistand.ClaimAnswered, Response: e.settlement.Response}, nil
	}
	return wasabistand.ClaimState{Status: wasabistand.ClaimUnknown}, nil
}

// Settle implements wasabistand.Claims.
func (c nodeClaims) Settle(_ context.Context, k wasabistand.Claim, s wasabistand.Settlement) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := claimKey{k.Caller, k.Service, k.Key}
	e := c.claims[id]
	if e == nil || e.owner != c.owner || e.claim.Call != k.Call || e.claim.Fingerprint != k.Fingerprint || e.settled {
		return nil
	}
	if s.Outcome == wasabistand.NotRun {
		delete(c.claims, id)
		return nil
	}
	e.settled, e.settlement = true, s
	return nil
}

// String names the implementation.
func (c *Control) String() string { return "fake control" }
