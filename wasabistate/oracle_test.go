package wasabistate_test

import (
	"fmt"

	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/wasabistate"
)

const (
	oracleIdentities = 6
	oracleAge        = int64(3_600_000)
	oracleRetention  = int64(60_000)
	oracleEntries    = 5
	oracleGrace      = int64(5_000)
)

// oracle remembers everything and forgets nothing. Its methods compare a
// result with what it allows and return the rule that was broken.
type oracle struct {
	now      int64
	revision uint64
	toml     string
	drained  map[string]bool
	winner   string
	won      int64
	commands map[string]*command
	order    []*command
	claims   map[string]*held
}

type command struct {
	id       string
	content  string
	issued   int64
	accepted int64
	position int
	first    any
}

type held struct {
	owner       string
	fingerprint string
	deadline    int64
	forget      int64
	answer      *wasabistandv1.RecordedAnswer
	unknown     bool
}

func newOracle() *oracle {
	return &oracle{drained: make(map[string]bool), commands: make(map[string]*command), claims: make(map[string]*held)}
}

// forgettable says that the bounds allow the machine to forget a command.
func (o *oracle) forgettable(c *command) bool {
	return len(o.order)-c.position > oracleIdentities || o.now >= c.accepted+oracleAge
}

func (o *oracle) mayBeTooOld(issued int64) bool {
	if issued <= o.now-oracleAge {
		return true
	}
	for _, c := range o.order {
		if o.forgettable(c) && issued <= c.issued {
			return true
		}
	}
	return false
}

// command checks the result of a command with an identity. run returns the
// result that a command which was not seen before must have.
func (o *oracle) command(id, content string, issued int64, result any, run func() any) error {
	known := o.commands[id]
	if r, ok := result.(wasabistate.TooOldResult); ok {
		if known != nil && !o.forgettable(known) {
			return fmt.Errorf("%s: refused as too old (%+v) though it must be remembered", id, r)
		}
		if known == nil && !o.mayBeTooOld(issued) {
			return fmt.Errorf("%s: refused as too old (%+v) though nothing issued later was forgotten", id, r)
		}
		return nil
	}
	if known == nil {
		want := run()
		if result != want {
			return fmt.Errorf("%s: result %#v, want %#v", id, result, want)
		}
		known = &command{id: id, content: content, issued: issued, accepted: o.now, position: len(o.order), first: want}
		o.commands[id] = known
		o.order = append(o.order, known)
		return nil
	}
	want := repeat(known.first)
	if known.content != content {
		want = wasabistate.ReusedResult{ID: id}
	}
	if result != want {
		return fmt.Errorf("%s: second result %#v, want %#v", id, result, want)
	}
	return nil
}

func repeat(result any) any {
	switch r := result.(type) {
	case wasabistate.AppliedResult:
		r.Repeated = true
		return r
	case wasabistate.ConflictResult:
		r.Repeated = true
		return r
	}
	return result
}

func (o *oracle) apply(c *wasabistandv1.ApplyCommand, result any) error {
	content := fmt.Sprint("apply", c.ExpectedRevision, c.Toml, c.Operator)
	return o.command(c.Command.Id, content, c.Command.IssuedUnixMs, result, func() any {
		if c.ExpectedRevision != o.revision {
			return wasabistate.ConflictResult{Expected: c.ExpectedRevision, Latest: o.revision, Winner: o.winner, WonUnixMs: o.won}
		}
		o.revision++
		o.toml, o.winner, o.won = c.Toml, c.Operator, o.now
		return wasabistate.AppliedResult{Revision: o.revision, Changed: true}
	})
}

func (o *oracle) drain(c *wasabistandv1.DrainCommand, result any) error {
	content := fmt.Sprint("drain", c.Instance, c.Drained, c.Operator)
	return o.command(c.Command.Id, content, c.Command.IssuedUnixMs, result, func() any {
		changed := o.drained[c.Instance] != c.Drained
		if changed {
			o.revision++
			o.drained[c.Instance], o.winner, o.won = c.Drained, c.Operator, o.now
		}
		return wasabistate.AppliedResult{Revision: o.revision, Changed: changed}
	})
}

func ownerName(w *wasabistandv1.ClaimOwner) string {
	return fmt.Sprintf("%s/%d/%d", w.Instance, w.Incarnation, w.Call)
}

func (o *oracle) claim(k *wasabistandv1.ClaimKey) *held {
	h := o.claims[k.String()]
	if h != nil && o.now >= h.forget {
		return nil
	}
	return h
}

func (o *oracle) live() int {
	n := 0
	for _, h := range o.claims {
		if o.now < h.forget {
			n++
		}
	}
	return n
}

// take checks the result of a take. total is how many claims the machine held
// before: forgotten ones may still take room.
func (o *oracle) take(t *wasabistandv1.ClaimTake, total int, r wasabistate.ClaimResult) error {
	h := o.claim(t.Key)
	want := wasabistandv1.ClaimResponse_STATE_HELD
	expired := o.now >= t.ExpiresUnixMs
	switch {
	case h == nil && (expired || o.now >= t.DeadlineUnixMs || o.live() >= oracleEntries):
		want = wasabistandv1.ClaimResponse_STATE_REFUSED
	case h == nil && r.State == wasabistandv1.ClaimResponse_STATE_REFUSED && total >= oracleEntries:
		return nil
	case h == nil:
		want = wasabistandv1.ClaimResponse_STATE_GRANTED
		o.claims[t.Key.String()] = &held{
			owner: ownerName(t.Owner), fingerprint: string(t.Fingerprint), deadline: t.DeadlineUnixMs,
			forget: t.DeadlineUnixMs + oracleGrace + oracleRetention,
		}
	case h.fingerprint != string(t.Fingerprint):
		want = wasabistandv1.ClaimResponse_STATE_MISMATCH
	case h.answer != nil:
		want = wasabistandv1.ClaimResponse_STATE_ANSWERED
		if a := r.Answer; a.GetStatus() != h.answer.Status || a.GetBodyOmitted() != (len(h.answer.Body) > 64<<10) ||
			(!a.GetBodyOmitted() && string(a.GetBody()) != string(h.answer.Body)) {
			return fmt.Errorf("take of %s: answer %.80v, want %.80v", t.Key, a, h.answer)
		}
	case h.unknown || o.now >= h.deadline+oracleGrace:
		want = wasabistandv1.ClaimResponse_STATE_UNKNOWN
	case h.owner == ownerName(t.Owner) && expired:
		want = wasabistandv1.ClaimResponse_STATE_REFUSED
	case h.owner == ownerName(t.Owner):
		want = wasabistandv1.ClaimResponse_STATE_GRANTED
	}
	if r.State != want {
		return fmt.Errorf("take of %s by %s: %s (%s), want %s", t.Key, t.Owner, r.State, r.Reason, want)
	}
	return nil
}

func (o *oracle) settle(s *wasabistandv1.ClaimSettle, r wasabistate.ClaimResult) error {
	h := o.claim(s.Key)
	want := wasabistandv1.ClaimResponse_STATE_NOT_OWNER
	switch settled := wasabistandv1.ClaimResponse_STATE_SETTLED; {
	case h == nil:
		if s.GetReleased() {
			want = settled
		}
	case h.owner != ownerName(s.Owner):
	case h.answer != nil || h.unknown:
		if (h.unknown && s.GetUnknown()) || (h.answer != nil && s.GetAnswer() != nil && string(h.answer.Body) == string(s.GetAnswer().Body)) {
			want = settled
		}
	default:
		want = settled
		if s.GetReleased() {
			delete(o.claims, s.Key.String())
			break
		}
		h.answer, h.unknown = s.GetAnswer(), s.GetUnknown()
		h.forget = o.now + oracleRetention
	}
	if r.State != want {
		return fmt.Errorf("settle of %s by %s: %s (%s), want %s", s.Key, s.Owner, r.State, r.Reason, want)
	}
	return nil
}
