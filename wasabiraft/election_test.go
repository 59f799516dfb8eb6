package wasabiraft_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/wasabiraft"
)

// TestFirstElectionDeadlineIsShort guards against a group that waits a whole
// election timeout after all of its members lost power, when there is no leader
// that an election could disturb.
func TestFirstElectionDeadlineIsShort(t *testing.T) {
	state, err := wasabiraft.Bootstrap([]*wasabistandv1.Member{{Id: "a", Address: "127.0.0.1:1"}, {Id: "b", Address: "127.0.0.1:2"}})
	assert.NilError(t, err)
	now := time.Unix(1000, 0)
	s := wasabiraft.NewSettings()
	for seed := range uint64(50) {
		r, err := wasabiraft.New(wasabiraft.Self{ID: "a", Address: "127.0.0.1:1", Storage: "x"}, s, state, rand.New(rand.NewPCG(seed, 1)), now)
		assert.NilError(t, err)
		assert.Assert(t, r.NextTick().Before(now.Add(s.ElectionTimeout)))
	}
}

// TestJoiningReplicaDropsSilentLeader guards against a joining member that waits for good
// for a leader that stopped before the member's addition was committed.
func TestJoiningReplicaDropsSilentLeader(t *testing.T) {
	now := time.Unix(1000, 0)
	s := wasabiraft.NewSettings()
	r, err := wasabiraft.New(wasabiraft.Self{ID: "new", Address: "127.0.0.1:9", Storage: "x"}, s, wasabiraft.State{}, rand.New(rand.NewPCG(1, 1)), now)
	assert.NilError(t, err)
	r.Step(now, &wasabistandv1.GroupMessage{
		Kind: wasabistandv1.GroupMessage_KIND_HEARTBEAT, From: "a", FromStorage: "y", FromAddress: "127.0.0.1:1", To: "new", Term: 2,
	})
	leader, _ := r.Leader()
	assert.Equal(t, leader, "a")
	for end := now.Add(2 * s.ElectionTimeout); !r.NextTick().After(end); {
		r.Tick(r.NextTick())
	}
	leader, _ = r.Leader()
	assert.Equal(t, leader, "")
}

// TestReadDoesNotWaitForEntries guards against reads that wait for the disks of followers.
func TestReadDoesNotWaitForEntries(t *testing.T) {
	now := time.Unix(1000, 0)
	state, err := wasabiraft.Bootstrap([]*wasabistandv1.Member{{Id: "a", Address: "127.0.0.1:1"}, {Id: "b", Address: "127.0.0.1:2"}})
	assert.NilError(t, err)
	r, err := wasabiraft.New(wasabiraft.Self{ID: "b", Address: "127.0.0.1:2", Storage: "y"}, wasabiraft.NewSettings(), state, rand.New(rand.NewPCG(1, 1)), now)
	assert.NilError(t, err)
	index, term := state.Entries[len(state.Entries)-1].GetIndex(), state.Entries[len(state.Entries)-1].GetTerm()
	for k := range uint64(2) {
		index++
		r.Step(now, &wasabistandv1.GroupMessage{
			Kind: wasabistandv1.GroupMessage_KIND_APPEND, From: "a", FromStorage: "x", To: "b", Term: 2, PreviousIndex: index - 1, PreviousTerm: term,
			Entries: []*wasabistandv1.LogEntry{{Index: index, Term: 2, Kind: wasabistandv1.LogEntry_KIND_COMMAND}},
		})
		term = 2
		r.Step(now, &wasabistandv1.GroupMessage{
			Kind: wasabistandv1.GroupMessage_KIND_HEARTBEAT, From: "a", FromStorage: "x", To: "b", Term: 2, ReadSequence: k + 1,
		})
		d := r.Ready()
		early := slices.ContainsFunc(d.BeforeSync, func(m *wasabistandv1.GroupMessage) bool { return m.GetReadSequence() == k+1 })
		// The first response says that this replica is in a term that is not on disk yet.
		assert.Equal(t, early, k > 0)
		assert.Equal(t, slices.ContainsFunc(d.AfterSync, func(m *wasabistandv1.GroupMessage) bool { return m.GetReadSequence() == k+1 }), k == 0)
		assert.Equal(t, len(d.Entries), 1)
		r.Synced(now)
	}
}

// electionDelay starts the first replicas of five within startSpread after a loss of
// power, on links
// of 20 ms one way that the first message of each direction opens, and returns the time
// from the last start until one leads.
func electionDelay(t *testing.T, seed uint64, running int, startSpread time.Duration) time.Duration {
	t.Helper()
	const oneWay, opening, limit = 20 * time.Millisecond, 80 * time.Millisecond, 10 * time.Second
	random := rand.New(rand.NewPCG(seed, 2))
	var members []*wasabistandv1.Member
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		members = append(members, &wasabistandv1.Member{Id: id, Address: id})
	}
	type delivery struct {
		at time.Time
		m  *wasabistandv1.GroupMessage
	}
	begin := time.Unix(1000, 0)
	openAt := map[[2]string]time.Time{}
	replicas, starts, network := map[string]*wasabiraft.Replica{}, map[string]time.Time{}, []delivery{}
	for _, m := range members {
		starts[m.GetId()] = begin.Add(time.Duration(random.Int64N(int64(startSpread))))
	}
	for now := begin; now.Before(begin.Add(limit)); now = now.Add(time.Millisecond) {
		for _, m := range members[:running] {
			id := m.GetId()
			if replicas[id] == nil && !now.Before(starts[id]) {
				state, err := wasabiraft.Bootstrap(members)
				assert.NilError(t, err)
				s := wasabiraft.NewSettings().WithElection(time.Second, 200*time.Millisecond)
				replicas[id], err = wasabiraft.New(wasabiraft.Self{ID: id, Address: id, Storage: "disk-" + id}, s, state, rand.New(rand.NewPCG(random.Uint64(), 3)), now)
				assert.NilError(t, err)
			}
			r := replicas[id]
			if r == nil {
				continue
			}
			rest := network[:0]
			for _, d := range network {
				if d.m.GetTo() == id && !now.Before(d.at) {
					r.Step(now, d.m)
				} else {
					rest = append(rest, d)
				}
			}
			network = rest
			r.Tick(now)
			for ready := r.Ready(); !ready.Empty(); ready = r.Ready() {
				r.Synced(now)
				for _, m := range append(ready.BeforeSync, ready.AfterSync...) {
					// A replica that has not started gets nothing.
					if replicas[m.GetTo()] == nil {
						continue
					}
					link := [2]string{id, m.GetTo()}
					if openAt[link].IsZero() {
						openAt[link] = now.Add(opening)
					}
					at := now
					if openAt[link].After(now) {
						at = openAt[link]
					}
					network = append(network, delivery{at.Add(oneWay), m})
				}
			}
			if r.Role() == wasabiraft.Leader {
				return now.Sub(begin.Add(startSpread))
			}
		}
	}
	return limit
}

// TestElectionAfterLossOfPower guards against votes that several candidates split
// among them, and against long pauses after that, while the users' requests wait. Three
// of five replicas run if two have lost their disks.
func TestElectionAfterLossOfPower(t *testing.T) {
	const seeds = 400
	for _, running := range []int{5, 3} {
		for _, startSpread := range []time.Duration{5 * time.Millisecond, 300 * time.Millisecond} {
			var sum time.Duration
			slow := 0
			for seed := range uint64(seeds) {
				d := electionDelay(t, seed, running, startSpread)
				sum += d
				if d > time.Second {
					slow++
				}
			}
			t.Logf("%d of 5, starts within %v: mean %v, over one second %d of %d", running, startSpread, sum/seeds, slow, seeds)
			assert.Check(t, slow <= seeds/100, "%d of 5, starts within %v: %d of %d elections took over one second", running, startSpread, slow, seeds)
		}
	}
}
