package wasabistate_test

import (
	"fmt"

	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/wasabistate"
)

const (
	oracleCommandRecords = 6
	oracleAge            = int64(3_600_000)
	oracleRetention      = int64(60_000)
	oracleEntries        = 5
	oracleGrace          = int64(5_000)
)

// oracle is a reference model that keeps all commands and claims. Its check
// methods compare a result with the allowed ones and return an error for a
// violated rule.
type oracle struct {
	now      int64
	revision uint64
	toml     string
	drained  map[string]bool
	winner   string
	wonAt    int64
	commands map[string]*commandModel
	order    []*commandModel
	claims   map[string]*claimModel
}

type commandModel struct {
	id          string
	content     string
	issued      int64
	accepted    int64
	position    int
	firstResult any
}

type claimModel struct {
	owner       string
	fingerprint string
	deadline    int64
	retainUntil int64
	response    *wasabistandv1.RecordedAnswer
	unknown     bool
}

func newOracle() *oracle {
	return &oracle{drained: make(map[string]bool), commands: make(map[string]*commandModel), claims: make(map[string]*claimModel)}
}

// mayBeEvicted reports whether the limits allow the machine to evict the record
// of a command.
func (o *oracle) mayBeEvicted(c *commandModel) bool {
	return len(o.order)-c.position > oracleCommandRecords || o.now >= c.accepted+oracleAge
}

func (o *oracle) mayBeTooOld(issued int64) bool {
	if issued <= o.now-oracleAge {
		return true
	}
	for _, c := range o.order {
		if o.mayBeEvicted(c) && issued <= c.issued {
			return true
		}
	}
	return false
}

// checkCommand checks the result of a command with an identity. run returns the
// result that the command must have if it has not run before.
func (o *oracle) checkCommand(id, content string, issued int64, result any, run func() any) error {
	known := o.commands[id]
	if r, ok := result.(wasabistate.TooOldResult); ok {
		if known != nil && !o.mayBeEvicted(known) {
			return fmt.Errorf("%s: refused as too old (%+v), but its record must not be evicted", id, r)
		}
		if known == nil && !o.mayBeTooOld(issued) {
			return fmt.Errorf("%s: refused as too old (%+v), but no command issued later was evicted", id, r)
		}
		return nil
	}
	if known == nil {
		want := run()
		if result != want {
			return fmt.Errorf("%s: result %#v, want %#v", id, result, want)
		}
		known = &commandModel{id: id, content: content, issued: issued, accepted: o.now, position: len(o.order), firstResult: want}
		o.commands[id] = known
		o.order = append(o.order, known)
		return nil
	}
	want := markRepeated(known.firstResult)
	if known.content != content {
		want = wasabistate.ReusedResult{ID: id}
	}
	if result != want {
		return fmt.Errorf("%s: second result %#v, want %#v", id, result, want)
	}
	return nil
}

func markRepeated(result any) any {
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

func (o *oracle) checkApply(c *wasabistandv1.ApplyCommand, result any) error {
	content := fmt.Sprint("apply", c.ExpectedRevision, c.Toml, c.Operator)
	return o.checkCommand(c.Command.Id, content, c.Command.IssuedUnixMs, result, func() any {
		if c.ExpectedRevision != o.revision {
			return wasabistate.ConflictResult{Expected: c.ExpectedRevision, Latest: o.revision, Winner: o.winner, WonUnixMs: o.wonAt}
		}
		o.revision++
		o.toml, o.winner, o.wonAt = c.Toml, c.Operator, o.now
		return wasabistate.AppliedResult{Revision: o.revision, Changed: true}
	})
}

func (o *oracle) checkDrain(c *wasabistandv1.DrainCommand, result any) error {
	content := fmt.Sprint("drain", c.Instance, c.Drained, c.Operator)
	return o.checkCommand(c.Command.Id, content, c.Command.IssuedUnixMs, result, func() any {
		changed := o.drained[c.Instance] != c.Drained
		if changed {
			o.revision++
			o.drained[c.Instance], o.winner, o.wonAt = c.Drained, c.Operator, o.now
		}
		return wasabistate.AppliedResult{Revision: o.revision, Changed: changed}
	})
}

func ownerName(w *wasabistandv1.ClaimOwner) string {
	return fmt.Sprintf("%s/%d/%d", w.Instance, w.Incarnation, w.Call)
}

func (o *oracle) liveClaim(k *wasabistandv1.ClaimKey) *claimModel {
	h := o.claims[k.String()]
	if h != nil && o.now >= h.retainUntil {
		return nil
	}
	return h
}

func (o *oracle) liveClaims() int {
	n := 0
	for _, h := range o.claims {
		if o.now < h.retainUntil {
			n++
		}
	}
	return n
}

// checkTake checks the result of a ClaimTake. total is how many claims the
// machine held before, including expired ones that were not removed yet.
func (o *oracle) checkTake(t *wasabistandv1.ClaimTake, total int, r wasabistate.ClaimResult) error {
	h := o.liveClaim(t.Key)
	want := wasabistandv1.ClaimResponse_STATE_HELD
	expired := o.now >= t.ExpiresUnixMs
	switch {
	case h == nil && (expired || o.now >= t.DeadlineUnixMs || o.liveClaims() >= oracleEntries):
		want = wasabistandv1.ClaimResponse_STATE_REFUSED
	case h == nil && r.State == wasabistandv1.ClaimResponse_STATE_REFUSED && total >= oracleEntries:
		return nil
	case h == nil:
		want = wasabistandv1.ClaimResponse_STATE_GRANTED
		o.claims[t.Key.String()] = &claimModel{
			owner: ownerName(t.Owner), fingerprint: string(t.Fingerprint), deadline: t.DeadlineUnixMs,
			retainUntil: t.DeadlineUnixMs + oracleGrace + oracleRetention,
		}
	case h.fingerprint != string(t.Fingerprint):
		want = wasabistandv1.ClaimResponse_STATE_MISMATCH
	case h.response != nil:
		want = wasabistandv1.ClaimResponse_STATE_ANSWERED
		if a := r.Answer; a.GetStatus() != h.response.Status || a.GetBodyOmitted() != (len(h.response.Body) > 64<<10) ||
			(!a.GetBodyOmitted() && string(a.GetBody()) != string(h.response.Body)) {
			return fmt.Errorf("take of %s: answer %.80v, want %.80v", t.Key, a, h.response)
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

func (o *oracle) checkSettle(s *wasabistandv1.ClaimSettle, r wasabistate.ClaimResult) error {
	h := o.liveClaim(s.Key)
	want := wasabistandv1.ClaimResponse_STATE_NOT_OWNER
	switch settled := wasabistandv1.ClaimResponse_STATE_SETTLED; {
	case h == nil:
		if s.GetReleased() {
			want = settled
		}
	case h.owner != ownerName(s.Owner):
	case h.response != nil || h.unknown:
		if (h.unknown && s.GetUnknown()) || (h.response != nil && s.GetAnswer() != nil && string(h.response.Body) == string(s.GetAnswer().Body)) {
			want = settled
		}
	default:
		want = settled
		if s.GetReleased() {
			delete(o.claims, s.Key.String())
			break
		}
		h.response, h.unknown = s.GetAnswer(), s.GetUnknown()
		h.retainUntil = o.now + oracleRetention
	}
	if r.State != want {
		return fmt.Errorf("settle of %s by %s: %s (%s), want %s", s.Key, s.Owner, r.State, r.Reason, want)
	}
	return nil
}
