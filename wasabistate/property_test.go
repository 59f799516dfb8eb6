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
		WithIdentities(oracleIdentities, time.Duration(oracleAge)*time.Millisecond).
		WithRevisions(4, 1<<20).
		WithLimits(wasabistate.Limits{ClaimRetention: time.Duration(oracleRetention) * time.Millisecond, ClaimEntries: oracleEntries, AnswerBytes: 1 << 20})
}

// world drives two replicas and the oracle with the same commands. Commands
// that were sent once are delivered again at any later time.
type world struct {
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

func newWorld(o wasabistate.Options, pick func(n int) int) *world {
	return &world{
		pick: pick, options: o, first: wasabistate.New(o), second: wasabistate.New(o),
		oracle: newOracle(), clock: 1_800_000_000_000,
	}
}

func (w *world) step() error {
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
		if err := w.restart(); err != nil {
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

func (w *world) identity() *wasabistandv1.CommandIdentity {
	w.number++
	skew := []int64{0, -1000, 30_000, -oracleAge / 2}[w.pick(4)]
	return &wasabistandv1.CommandIdentity{Id: fmt.Sprintf("command-%012d", w.number), IssuedUnixMs: w.oracle.now + skew}
}

func (w *world) apply() *wasabistandv1.ApplyCommand {
	expected := w.oracle.revision
	if w.pick(3) == 0 && expected > 0 {
		expected--
	}
	c := &wasabistandv1.ApplyCommand{Command: w.identity(), ExpectedRevision: expected, Operator: fmt.Sprintf("operator-%d", w.pick(3))}
	c.Toml = "# " + c.Command.Id
	return c
}

func (w *world) drain() *wasabistandv1.DrainCommand {
	return &wasabistandv1.DrainCommand{Command: w.identity(), Instance: fmt.Sprintf("archive-%d", w.pick(2)), Drained: w.pick(2) == 0, Operator: "operator-1"}
}

func (w *world) owner() *wasabistandv1.ClaimOwner {
	return &wasabistandv1.ClaimOwner{Instance: fmt.Sprintf("node-%d", w.pick(2)), Incarnation: uint64(1 + w.pick(2)), Call: uint64(1 + w.pick(2))}
}

func (w *world) key() *wasabistandv1.ClaimKey {
	return &wasabistandv1.ClaimKey{Caller: "office", Service: "reports", Key: fmt.Sprint(w.pick(7))}
}

func (w *world) take() *wasabistandv1.ClaimTake {
	patience := []int64{500, 3_000, 100_000}[w.pick(3)]
	return &wasabistandv1.ClaimTake{
		Key: w.key(), Owner: w.owner(), Fingerprint: bytes.Repeat([]byte{byte(w.pick(8) / 7)}, 32),
		ExpiresUnixMs: w.clock + 250, DeadlineUnixMs: w.clock + patience,
	}
}

func (w *world) settle() *wasabistandv1.ClaimSettle {
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

// send may also lose or hold back a command for later.
func (w *world) send(c proto.Message) error {
	w.sent = append(w.sent, c)
	if w.pick(6) == 0 {
		return nil
	}
	return w.deliver(c)
}

func (w *world) deliver(c proto.Message) error {
	// Each leader has its own clock, some behind.
	now := w.clock - int64(w.pick(3))*400
	b := encode(now, c)
	var err error
	w.index++
	before, total := w.first.Revision(), w.first.Claims().Total()
	w.oracle.now = max(w.oracle.now, now)
	result, second := w.first.Apply(w.index, b), w.second.Apply(w.index, b)
	if fmt.Sprint(result) != fmt.Sprint(second) || reflect.TypeOf(result) != reflect.TypeOf(second) {
		return fmt.Errorf("replicas answer %v and %v", result, second)
	}
	switch k := c.(type) {
	case *wasabistandv1.ApplyCommand:
		err = w.oracle.apply(k, result)
	case *wasabistandv1.DrainCommand:
		err = w.oracle.drain(k, result)
	case *wasabistandv1.ClaimTake:
		err = w.oracle.take(k, total, result.(wasabistate.ClaimResult))
	case *wasabistandv1.ClaimSettle:
		err = w.oracle.settle(k, result.(wasabistate.ClaimResult))
	}
	if err != nil {
		return err
	}
	d := w.first.Document()
	if d.Revision < before || d.Revision != w.oracle.revision || d.TOML != w.oracle.toml {
		return fmt.Errorf("revision %d with %q after %d, want %d with %q", d.Revision, d.TOML, before, w.oracle.revision, w.oracle.toml)
	}
	if n := w.first.Claims().Total(); n < w.oracle.live() || n > oracleEntries {
		return fmt.Errorf("%d claims, allowed are %d to %d", n, w.oracle.live(), oracleEntries)
	}
	return nil
}

// restart replaces the second replica by one restored from the first.
func (w *world) restart() error {
	snapshot, err := w.first.Snapshot()
	if err != nil {
		return err
	}
	own, err := w.second.Snapshot()
	if err != nil {
		return err
	}
	if !bytes.Equal(snapshot, own) {
		return fmt.Errorf("replicas differ: %d and %d bytes", len(snapshot), len(own))
	}
	w.second = wasabistate.New(w.options)
	if err := w.second.Restore(snapshot); err != nil {
		return err
	}
	if own, err = w.second.Snapshot(); err != nil {
		return err
	}
	if !bytes.Equal(snapshot, own) {
		return fmt.Errorf("restored state differs: %d and %d bytes", len(snapshot), len(own))
	}
	if w.first.Claims() != w.second.Claims() || !reflect.DeepEqual(w.first.History(100, 0), w.second.History(100, 0)) ||
		!reflect.DeepEqual(w.first.Drained(), w.second.Drained()) {
		return fmt.Errorf("restored state reads differently")
	}
	return nil
}

// TestMachineAgainstOracle guards against two winners of a revision, commands
// that act twice or change their answer, keys granted twice, answers of
// another call, and replicas that differ after a restore.
func TestMachineAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(oracleOptions(), func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") })
		for range 250 {
			if err := w.step(); err != nil {
				t.Fatal(err)
			}
		}
		if err := w.restart(); err != nil {
			t.Fatal(err)
		}
	})
}

// TestOracleFindsBrokenRules shows that the checks above can fail.
func TestOracleFindsBrokenRules(t *testing.T) {
	for _, c := range []struct {
		name    string
		options wasabistate.Options
		broken  string
	}{
		{"identity forgotten too early", oracleOptions().WithForgetEarly(), "second result"},
		{"claim released by another node", oracleOptions().WithReleaseByOthers(), "settle of"},
	} {
		t.Run(c.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 1))
			w := newWorld(c.options, random.IntN)
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
