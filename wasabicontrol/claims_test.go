package wasabicontrol_test

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/wasabicontrol"
)

func claim(key string, call uint64) wasabistand.Claim {
	return wasabistand.Claim{
		Caller: "office", Service: "reports", Key: key, HomeRegion: "here", Call: call, Fingerprint: [32]byte{1},
		Deadline: time.Now().Add(time.Minute),
	}
}

// take claims a key and retries while no leader is known.
func (n *node) take(t testing.TB, w wasabistand.Claim) wasabistand.ClaimState {
	t.Helper()
	for {
		s, err := n.Take(t.Context(), w)
		if err == nil {
			return s
		}
		var refusal *wasabistand.Refusal
		assert.Assert(t, errors.As(err, &refusal))
		assert.Equal(t, refusal.Outcome, wasabistand.NotRun)
		assert.Equal(t, refusal.Reason, wasabistand.ReasonClaim)
	}
}

// Guards against granting one key to two concurrent calls, and against a retry
// through another node that does not receive the recorded response.
func TestClaimIsGrantedToOneCall(t *testing.T) {
	c := newCluster(t, 3, 0, nil)
	revision := c.mustApply("control-1", 0, "first", "1s")
	a, b := c.node("reports-1", "reports", 1, "control-1"), c.node("reports-2", "reports", 1, "control-2")
	a.await(t, "revision", atLeast(revision))
	b.await(t, "revision", atLeast(revision))
	for k := range 20 {
		key := fmt.Sprintf("key-%d", k)
		states := make([]wasabistand.ClaimState, 2)
		claims := []wasabistand.Claim{claim(key, uint64(k+1)), claim(key, uint64(k+1))}
		var wait sync.WaitGroup
		for x, n := range []*node{a, b} {
			wait.Go(func() { states[x] = n.take(t, claims[x]) })
		}
		wait.Wait()
		owner, other := 0, 1
		if states[1].Status == wasabistand.ClaimGranted {
			owner, other = 1, 0
		}
		assert.Equal(t, states[owner].Status, wasabistand.ClaimGranted)
		assert.Equal(t, states[other].Status, wasabistand.ClaimHeld)
		nodes := []*node{a, b}
		response := &wasabistand.RecordedResponse{Status: 201, Body: []byte(key)}
		assert.NilError(t, nodes[owner].Settle(t.Context(), claims[owner], wasabistand.Settlement{Outcome: wasabistand.Answered, Response: response}))
		for {
			s := nodes[other].take(t, claims[other])
			if s.Status == wasabistand.ClaimAnswered {
				assert.Equal(t, string(s.Response.Body), key)
				break
			}
			assert.Equal(t, s.Status, wasabistand.ClaimHeld)
		}
	}
}

// Guards against losing a settlement when the leader is killed, and against a
// released key that stays held.
func TestSettlementsSurviveLeaderLoss(t *testing.T) {
	c := newCluster(t, 3, 0, nil)
	revision := c.mustApply("control-1", 0, "first", "1s")
	n := c.node("reports-1", "reports", 1, c.ids...)
	n.await(t, "revision", atLeast(revision))
	released, answered := claim("released", 1), claim("answered", 2)
	assert.Equal(t, n.take(t, released).Status, wasabistand.ClaimGranted)
	assert.Equal(t, n.take(t, answered).Status, wasabistand.ClaimGranted)
	c.kill(c.leader(t))
	assert.NilError(t, n.Settle(t.Context(), released, wasabistand.Settlement{Outcome: wasabistand.NotRun}))
	assert.NilError(t, n.Settle(t.Context(), answered, wasabistand.Settlement{Outcome: wasabistand.Answered, Response: &wasabistand.RecordedResponse{Status: 200}}))
	assert.NilError(t, n.Close())

	other := c.node("reports-2", "reports", 1, c.ids...)
	other.await(t, "revision", atLeast(revision))
	assert.Equal(t, other.take(t, claim("released", 3)).Status, wasabistand.ClaimGranted)
	assert.Equal(t, other.take(t, claim("answered", 4)).Status, wasabistand.ClaimAnswered)
}

// Guards against a region that can't restart its nodes or claim keys while it
// is partitioned from root, and against a node that receives a revision before
// its home group has stored it.
func TestHomeGroupServesPartitionedRegion(t *testing.T) {
	c := newCluster(t, 5, 2, nil)
	revision := c.mustApply("control-5", 0, "first", "2s")
	first := c.node("reports-1", "reports", 1, "control-1", "control-2")
	first.await(t, "copied revision", atLeast(revision))

	c.sides["control-1"].Store(1)
	c.sides["control-2"].Store(1)
	latest := c.mustApply("control-5", revision, "second", "3s")
	restarted := c.node("reports-2", "reports", 1, "control-1", "control-2")
	v := restarted.await(t, "first view", func(*wasabistand.View) bool { return true })
	assert.Equal(t, v.Revision, revision)
	assert.Equal(t, restarted.take(t, claim("a", 1)).Status, wasabistand.ClaimGranted)

	c.sides["control-1"].Store(0)
	c.sides["control-2"].Store(0)
	restarted.await(t, "revision after the region is back", atLeast(latest))
	first.await(t, "revision after the region is back", atLeast(latest))
}

// Guards against limits that differ between replicas, and against a full claim
// table that evicts claims early or grants more.
func TestLeaderLimitsApply(t *testing.T) {
	c := newCluster(t, 3, 0, func(s wasabicontrol.Settings) wasabicontrol.Settings {
		return s.WithClaims(time.Hour, 5, 1<<20)
	})
	revision := c.mustApply("control-1", 0, "first", "1s")
	n := c.node("reports-1", "reports", 1, c.ids...)
	n.await(t, "revision", atLeast(revision))
	granted := claim("granted", 1)
	assert.Equal(t, n.take(t, granted).Status, wasabistand.ClaimGranted)
	for k := uint64(2); ; k++ {
		_, err := n.Take(t.Context(), claim(fmt.Sprintf("key-%d", k), k))
		if err != nil && strings.Contains(err.Error(), "the home group refused") {
			break
		}
	}
	retried := granted
	retried.Call = 1 << 40
	assert.Equal(t, n.take(t, retried).Status, wasabistand.ClaimHeld)
}
