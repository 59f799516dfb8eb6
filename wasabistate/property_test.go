package wasabistate_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	_ "github.com/wasabistand/wasabistand/internal/wasabiseed"
	"github.com/wasabistand/wasabistand/wasabistate"
)

func oracleOptions() wasabistate.Options {
	return wasabistate.NewOptions().
		WithCommandRecords(oracleCommandRecords, time.Duration(oracleAge)*time.Millisecond).
		WithRevisions(4, 1<<20).
		WithLimits(wasabistate.Limits{ClaimRetention: time.Duration(oracleRetention) * time.Millisecond, ClaimEntries: oracleEntries, AnswerBytes: 1 << 20})
}

// simulation applies the same commands to two replicas and the oracle. Commands
// that were sent may be delivered again at any later time.
type simulation struct {
	pick    func(n int) int
	options wasabistate.Options
	first   *wasabistate.Machine
	second  *wasabistate.Machine
	oracle  *oracle
	clock   int64
	sent    []proto.Message
	number  int
	index   uint64
}

func newSimulation(o wasabistate.Options, pick func(n int) int) *simulation {
	return &simulation{
		pick: pick, options: o, first: wasabistate.New(o), second: wasabistate.New(o),
		oracle: newOracle(), clock: 1_800_000_000_000,
	}
}

func (w *simulation) step() error {
	switch w.pick(12) {
	case 0:
		w.clock += []int64{1, 100, 4_000, 30_000, 120_000, oracleAge / 3}[w.pick(6)]
	case 1, 2:
		return w.send(w.apply())
	case 3:
		return w.send(w.drain())
	case 4, 5, 6:
		return w.send(w.take())
	case 7, 8:
		return w.send(w.settle())
	case 9:
		if err := w.restoreReplica(); err != nil {
			return err
		}
	default:
		if len(w.sent) > 0 {
			again := w.sent[w.pick(len(w.sent))]
			if a, ok := again.(*wasabistandv1.ApplyCommand); ok && w.pick(4) == 0 {
				other := proto.Clone(a).(*wasabistandv1.ApplyCommand)
				other.Toml, again = "other", other
			}
			return w.deliver(again)
		}
	}
	return nil
}

func (w *simulation) identity() *wasabistandv1.CommandIdentity {
	w.number++
	skew := []int64{0, -1000, 30_000, -oracleAge / 2}[w.pick(4)]
	return &wasabistandv1.CommandIdentity{Id: fmt.Sprintf("command-%012d", w.number), IssuedUnixMs: w.oracle.now + skew}
}

func (w *simulation) apply() *wasabistandv1.ApplyCommand {
	expected := w.oracle.revision
	if w.pick(3) == 0 && expected > 0 {
		expected--
	}
	c := &wasabistandv1.ApplyCommand{Command: w.identity(), ExpectedRevision: expected, Operator: fmt.Sprintf("operator-%d", w.pick(3))}
	c.Toml = "# " + c.Command.Id
	return c
}

func (w *simulation) drain() *wasabistandv1.DrainCommand {
	return &wasabistandv1.DrainCommand{Command: w.identity(), Instance: fmt.Sprintf("archive-%d", w.pick(2)), Drained: w.pick(2) == 0, Operator: "operator-1"}
}

func (w *simulation) owner() *wasabistandv1.ClaimOwner {
	return &wasabistandv1.ClaimOwner{Instance: fmt.Sprintf("node-%d", w.pick(2)), Incarnation: uint64(1 + w.pick(2)), Call: uint64(1 + w.pick(2))}
}

func (w *simulation) key() *wasabistandv1.ClaimKey {
	return &wasabistandv1.ClaimKey{Caller: "office", Service: "reports", Key: fmt.Sprint(w.pick(7))}
}

func (w *simulation) take() *wasabistandv1.ClaimTake {
	timeout := []int64{500, 3_000, 100_000}[w.pick(3)]
	return &wasabistandv1.ClaimTake{
		Key: w.key(), Owner: w.owner(), Fingerprint: bytes.Repeat([]byte{byte(w.pick(8) / 7)}, 32),
		ExpiresUnixMs: w.clock + 250, DeadlineUnixMs: w.clock + timeout,
	}
}

func (w *simulation) settle() *wasabistandv1.ClaimSettle {
	c := &wasabistandv1.ClaimSettle{Key: w.key(), Owner: w.owner()}
	switch w.pick(4) {
	case 0:
		c.Result = &wasabistandv1.ClaimSettle_Released{Released: true}
	case 1:
		c.Result = &wasabistandv1.ClaimSettle_Unknown{Unknown: true}
	default:
		w.number++
		body := fmt.Sprintf("answer %d of %s to %s", w.number, ownerName(c.Owner), c.Key)
		if w.pick(8) == 0 {
			body += strings.Repeat("x", 64<<10)
		}
		c.Result = &wasabistandv1.ClaimSettle_Answer{Answer: &wasabistandv1.RecordedAnswer{Status: 200, Body: []byte(body)}}
	}
	return c
}

// send delivers a new command or drops it. Dropped commands may be delivered
// later.
func (w *simulation) send(c proto.Message) error {
	w.sent = append(w.sent, c)
	if w.pick(6) == 0 {
		return nil
	}
	return w.deliver(c)
}

func (w *simulation) deliver(c proto.Message) error {
	// Leaders' clocks differ; some are behind.
	now := w.clock - int64(w.pick(3))*400
	b := encode(now, c)
	var err error
	w.index++
	before, total := w.first.Revision(), w.first.Claims().Total()
	w.oracle.now = max(w.oracle.now, now)
	result, second := w.first.Apply(w.index, b), w.second.Apply(w.index, b)
	if fmt.Sprint(result) != fmt.Sprint(second) || reflect.TypeOf(result) != reflect.TypeOf(second) {
		return fmt.Errorf("replicas return %v and %v", result, second)
	}
	switch k := c.(type) {
	case *wasabistandv1.ApplyCommand:
		err = w.oracle.checkApply(k, result)
	case *wasabistandv1.DrainCommand:
		err = w.oracle.checkDrain(k, result)
	case *wasabistandv1.ClaimTake:
		err = w.oracle.checkTake(k, total, result.(wasabistate.ClaimResult))
	case *wasabistandv1.ClaimSettle:
		err = w.oracle.checkSettle(k, result.(wasabistate.ClaimResult))
	}
	if err != nil {
		return err
	}
	d := w.first.Document()
	if d.Revision < before || d.Revision != w.oracle.revision || d.TOML != w.oracle.toml {
		return fmt.Errorf("revision %d with %q after %d, want %d with %q", d.Revision, d.TOML, before, w.oracle.revision, w.oracle.toml)
	}
	if n := w.first.Claims().Total(); n < w.oracle.liveClaims() || n > oracleEntries {
		return fmt.Errorf("%d claims, allowed are %d to %d", n, w.oracle.liveClaims(), oracleEntries)
	}
	return nil
}

// restoreReplica replaces the second replica with one restored from the first.
func (w *simulation) restoreReplica() error {
	snapshot, err := w.first.Snapshot()
	if err != nil {
		return err
	}
	other, err := w.second.Snapshot()
	if err != nil {
		return err
	}
	if !bytes.Equal(snapshot, other) {
		return fmt.Errorf("replicas differ: %d and %d bytes", len(snapshot), len(other))
	}
	w.second = wasabistate.New(w.options)
	if err := w.second.Restore(snapshot); err != nil {
		return err
	}
	if other, err = w.second.Snapshot(); err != nil {
		return err
	}
	if !bytes.Equal(snapshot, other) {
		return fmt.Errorf("restored state differs: %d and %d bytes", len(snapshot), len(other))
	}
	if w.first.Claims() != w.second.Claims() || !reflect.DeepEqual(w.first.History(100, 0), w.second.History(100, 0)) ||
		!reflect.DeepEqual(w.first.Drained(), w.second.Drained()) {
		return fmt.Errorf("restored state has different claims, history or drained instances")
	}
	return nil
}

// TestMachineAgainstOracle guards against two commands that create the same
// revision, commands that take effect twice or return another result when
// retried, keys granted twice, responses of another call, and replicas that
// differ after a restore.
func TestMachineAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(oracleOptions(), func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") })
		for range 250 {
			if err := w.step(); err != nil {
				t.Fatal(err)
			}
		}
		if err := w.restoreReplica(); err != nil {
			t.Fatal(err)
		}
	})
}

// TestOracleFindsBrokenRules verifies that the oracle detects violated rules.
func TestOracleFindsBrokenRules(t *testing.T) {
	for _, c := range []struct {
		name    string
		options wasabistate.Options
		broken  string
	}{
		{"identity forgotten too early", oracleOptions().WithIgnoredEvictions(), "second result"},
		{"claim released by another node", oracleOptions().WithReleaseByOthers(), "settle of"},
	} {
		t.Run(c.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 1))
			w := newSimulation(c.options, random.IntN)
			const bound = 20_000
			for n := range bound {
				if err := w.step(); err != nil {
					t.Logf("found after %d steps: %v", n+1, err)
					assert.ErrorContains(t, err, c.broken)
					return
				}
			}
			t.Fatalf("not found in %d steps", bound)
		})
	}
}
