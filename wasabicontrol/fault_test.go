package wasabicontrol_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/wasabicontrol"
	"github.com/wasabistand/wasabistand/wasabilink"

	"connectrpc.com/connect"
)

// claimOracle checks grants: a key may be granted to one call at a time, and never
// after a call with that key was answered.
type claimOracle struct {
	t        *testing.T
	mu       sync.Mutex
	running  map[string]uint64
	answered map[string]bool
	granted  int
}

func (k *claimOracle) grant(key string, call uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.granted++
	if other := k.running[key]; other != 0 {
		k.t.Errorf("%s is granted to call %d while call %d runs", key, call, other)
	}
	if k.answered[key] {
		k.t.Errorf("%s is granted to call %d after it was answered", key, call)
	}
	k.running[key] = call
}

func (k *claimOracle) release(key string, answered bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.running, key)
	k.answered[key] = k.answered[key] || answered
}

// Guards against a call that runs twice because leaders are partitioned, killed
// and restarted while claims, releases and recorded responses are in flight.
func TestClaimsRunOnceThroughFaults(t *testing.T) {
	const workers, callsPerWorker, names, rounds = 12, 20_000, 2000, 8
	c := newCluster(t, 3, 0, nil)
	revision := c.mustApply("control-1", 0, "first", "1s")
	var nodes []*node
	for k := range 3 {
		n := c.node(fmt.Sprintf("reports-%d", k), "reports", 1, c.ids...)
		n.await(t, "revision", atLeast(revision))
		nodes = append(nodes, n)
	}
	oracle := &claimOracle{t: t, running: map[string]uint64{}, answered: map[string]bool{}}
	var wait sync.WaitGroup
	stop := make(chan struct{})
	for w := range workers {
		wait.Go(func() {
			random := rand.New(rand.NewPCG(1, uint64(w)))
			n := nodes[w%len(nodes)]
			granted := false
			for call := range callsPerWorker {
				select {
				case <-stop:
					if granted {
						return
					}
				default:
				}
				k := claim(fmt.Sprintf("key-%d", random.IntN(names)), uint64(w*callsPerWorker+call+1))
				s, err := n.Take(t.Context(), k)
				var refusal *wasabistand.Refusal
				if err != nil && (!errors.As(err, &refusal) || refusal.Outcome != wasabistand.NotRun) {
					t.Errorf("take: %v", err)
				}
				if err != nil || s.Status != wasabistand.ClaimGranted {
					continue
				}
				granted = true
				oracle.grant(k.Key, k.Call)
				settlement := wasabistand.Settlement{Outcome: wasabistand.NotRun}
				if random.IntN(4) == 0 {
					settlement = wasabistand.Settlement{Outcome: wasabistand.Answered, Response: &wasabistand.RecordedResponse{Status: 200}}
				}
				// The call ends before the settlement is sent.
				oracle.release(k.Key, settlement.Outcome == wasabistand.Answered)
				if err := n.Settle(t.Context(), k, settlement); err != nil {
					t.Errorf("settle: %v", err)
				}
			}
		})
	}
	// No result depends on the timing of the faults.
	random := rand.New(rand.NewPCG(2, 2))
	for round := range rounds {
		id := c.ids[random.IntN(len(c.ids))]
		if round%2 == 0 {
			c.sides[id].Store(1)
		} else {
			c.kill(id)
		}
		time.Sleep(time.Duration(200+random.IntN(800)) * time.Millisecond)
		if round%2 == 0 {
			c.sides[id].Store(0)
		} else {
			c.restart(id)
		}
	}
	close(stop)
	wait.Wait()
	assert.Assert(t, oracle.granted >= workers)
	t.Logf("%d grants through %d faults", oracle.granted, rounds)
}

// Guards against executing an operator's command that was forwarded by a process
// that is not a control instance, since forwarded commands need no token.
func TestNonMembersCannotForwardCommands(t *testing.T) {
	c := newCluster(t, 1, 0, nil)
	revision := c.mustApply("control-1", 0, "first", "1s")
	pool := wasabilink.NewPool(wasabilink.NewOptions("test", "reports-1", 1), nil)
	defer pool.Close()
	link, err := pool.Get(t.Context(), c.links["control-1"])
	assert.NilError(t, err)
	stream, err := link.Open(wasabistandv1.StreamOpen_KIND_FORWARD)
	assert.NilError(t, err)
	assert.NilError(t, stream.Send(&wasabistandv1.ForwardRequest{Method: "/wasabistand.v1.OperatorService/Apply", Group: wasabicontrol.RootGroup, Operator: "committee"}))
	assert.Assert(t, stream.Receive(new(wasabistandv1.ForwardResponse)) != nil)
	response, err := c.operator("control-1", readToken).GetConfiguration(t.Context(), connect.NewRequest(&wasabistandv1.GetConfigurationRequest{}))
	assert.NilError(t, err)
	assert.Equal(t, response.Msg.GetRevision(), revision)
}
