package wasabistate

import (
	"bytes"
	"strconv"

	"google.golang.org/protobuf/proto"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
)

func (m *Machine) takeClaim(t *wasabistandv1.ClaimTake) ClaimResult {
	if err := checkTake(t, m.now); err != nil {
		return refuseClaim(err.Error())
	}
	k := claimKey(t.GetKey())
	c, collides := m.claims.find(k, m.now)
	switch {
	case collides:
		return refuseClaim("key: its hash is in use")
	case c == nil:
		return m.grantClaim(k, t)
	case !bytes.Equal(c.fingerprint[:], t.GetFingerprint()):
		return ClaimResult{State: wasabistandv1.ClaimResponse_STATE_MISMATCH}
	case c.state == claimDone || c.state == claimDoneLarge:
		response := new(wasabistandv1.RecordedAnswer)
		if err := proto.Unmarshal(c.response.message, response); err != nil {
			return ClaimResult{State: wasabistandv1.ClaimResponse_STATE_UNKNOWN}
		}
		return ClaimResult{State: wasabistandv1.ClaimResponse_STATE_ANSWERED, Answer: response}
	case c.state == claimUnknown || m.now >= c.deadline+settleGraceMillis:
		return ClaimResult{State: wasabistandv1.ClaimResponse_STATE_UNKNOWN}
	case !c.ownedBy(t.GetOwner()):
		return ClaimResult{State: wasabistandv1.ClaimResponse_STATE_HELD}
	case m.now >= t.GetExpiresUnixMs():
		// The owner may have stopped waiting; in that case it releases the claim.
		return refuseClaim("expires_unix_ms: the time is over")
	default:
		return ClaimResult{State: wasabistandv1.ClaimResponse_STATE_GRANTED}
	}
}

func (m *Machine) grantClaim(k [32]byte, t *wasabistandv1.ClaimTake) ClaimResult {
	if m.now >= min(t.GetExpiresUnixMs(), t.GetDeadlineUnixMs()) {
		return refuseClaim("expires_unix_ms: the time is over")
	}
	if m.claims.count() >= m.limits.ClaimEntries {
		return refuseClaim("the claim table is full")
	}
	c := &claim{
		key:         k,
		owner:       m.claims.acquire(ownerKey{t.GetOwner().GetInstance(), t.GetOwner().GetIncarnation()}),
		call:        t.GetOwner().GetCall(),
		deadline:    t.GetDeadlineUnixMs(),
		queuedAt:    m.now,
		retainUntil: t.GetDeadlineUnixMs() + settleGraceMillis + m.limits.ClaimRetention.Milliseconds(),
		state:       claimHeld,
	}
	copy(c.fingerprint[:], t.GetFingerprint())
	m.claims.insert(c)
	return ClaimResult{State: wasabistandv1.ClaimResponse_STATE_GRANTED}
}

func (m *Machine) settleClaim(s *wasabistandv1.ClaimSettle) ClaimResult {
	if err := checkSettle(s); err != nil {
		return refuseClaim(err.Error())
	}
	c, _ := m.claims.find(claimKey(s.GetKey()), m.now)
	if c == nil {
		if s.GetReleased() {
			// A retry of a release that was already applied.
			return ClaimResult{State: wasabistandv1.ClaimResponse_STATE_SETTLED}
		}
		return ClaimResult{State: wasabistandv1.ClaimResponse_STATE_NOT_OWNER}
	}
	if !c.ownedBy(s.GetOwner()) && (!s.GetReleased() || !m.options.faults.releaseByOthers) {
		return ClaimResult{State: wasabistandv1.ClaimResponse_STATE_NOT_OWNER}
	}
	if c.state != claimHeld {
		if c.sameSettlement(s) {
			return ClaimResult{State: wasabistandv1.ClaimResponse_STATE_SETTLED}
		}
		return ClaimResult{State: wasabistandv1.ClaimResponse_STATE_NOT_OWNER}
	}
	switch {
	case s.GetReleased():
		m.claims.remove(c)
	case s.GetAnswer() != nil:
		state, response := m.recordResponse(s.GetAnswer())
		m.claims.settle(c, state, response)
		m.claims.requeue(c, m.now, m.now+m.limits.ClaimRetention.Milliseconds())
	default:
		m.claims.settle(c, claimUnknown, nil)
		m.claims.requeue(c, m.now, m.now+m.limits.ClaimRetention.Milliseconds())
	}
	return ClaimResult{State: wasabistandv1.ClaimResponse_STATE_SETTLED}
}

func (c *claim) sameSettlement(s *wasabistandv1.ClaimSettle) bool {
	if a := s.GetAnswer(); a != nil {
		return c.response != nil && c.response.digest == responseDigest(a)
	}
	return s.GetUnknown() && c.state == claimUnknown
}

// recordResponse returns the state of a claim settled with a response and the
// stored form of the response: only its status if it exceeds the limits.
func (m *Machine) recordResponse(a *wasabistandv1.RecordedAnswer) (claimState, *recordedResponse) {
	recorded := &recordedResponse{digest: responseDigest(a)}
	headers := 0
	for _, h := range a.GetHeaders() {
		headers += len(h.GetName()) + len(h.GetValue())
	}
	if !a.GetBodyOmitted() && len(a.GetBody()) <= maxBodyBytes && headers <= maxHeaderBytes {
		message, err := proto.MarshalOptions{Deterministic: true}.Marshal(a)
		if err == nil && m.claims.responseBytes+int64(len(message)) <= m.limits.AnswerBytes {
			recorded.message = message
			return claimDone, recorded
		}
	}
	// A status and a flag are only a few bytes; ClaimEntries limits their total.
	recorded.message, _ = proto.Marshal(&wasabistandv1.RecordedAnswer{Status: a.GetStatus(), BodyOmitted: true})
	return claimDoneLarge, recorded
}

func (m *Machine) applyClaimBatch(b *wasabistandv1.ClaimBatch) any {
	if n := len(b.GetRequests()); n > maxBatchRequests {
		return InvalidResult{Err: wasabistand.ErrInvalid.New("requests: %d, allowed are at most %d", n, maxBatchRequests)}
	}
	results := make([]ClaimResult, len(b.GetRequests()))
	for i, r := range b.GetRequests() {
		m.claims.removeExpired(m.now, m.limits)
		switch k := r.GetKind().(type) {
		case *wasabistandv1.ClaimRequest_Take:
			results[i] = m.takeClaim(k.Take)
		case *wasabistandv1.ClaimRequest_Settle:
			results[i] = m.settleClaim(k.Settle)
		default:
			results[i] = refuseClaim("kind: not set")
		}
		results[i].ID = r.GetId()
	}
	return BatchResult{Results: results}
}

func refuseClaim(reason string) ClaimResult {
	return ClaimResult{State: wasabistandv1.ClaimResponse_STATE_REFUSED, Reason: reason}
}

func checkKey(k *wasabistandv1.ClaimKey, o *wasabistandv1.ClaimOwner) error {
	for _, err := range []error{
		checkLength("key.caller", k.GetCaller(), 1, maxNameBytes),
		checkLength("key.service", k.GetService(), 1, maxNameBytes),
		checkLength("key.key", k.GetKey(), 1, maxKeyBytes),
		checkLength("owner.instance", o.GetInstance(), 1, maxNameBytes),
	} {
		if err != nil {
			return err
		}
	}
	return nil
}

func checkTake(t *wasabistandv1.ClaimTake, now int64) error {
	if err := checkKey(t.GetKey(), t.GetOwner()); err != nil {
		return err
	}
	if n := len(t.GetFingerprint()); n != 32 {
		return wasabistand.ErrInvalid.New("fingerprint: %d bytes, allowed are 32", n)
	}
	if d := t.GetDeadlineUnixMs(); d > now+maxClaimTimeoutMillis {
		return wasabistand.ErrInvalid.New("deadline_unix_ms: %d, allowed is at most %d", d, now+maxClaimTimeoutMillis)
	}
	return nil
}

func checkSettle(s *wasabistandv1.ClaimSettle) error {
	if err := checkKey(s.GetKey(), s.GetOwner()); err != nil {
		return err
	}
	a := s.GetAnswer()
	if a == nil && !s.GetReleased() && !s.GetUnknown() {
		return wasabistand.ErrInvalid.New("result: not set")
	}
	if a != nil && (a.GetStatus() < 100 || a.GetStatus() > 599) {
		return wasabistand.ErrInvalid.New("answer.status: %d, allowed are 100 to 599", a.GetStatus())
	}
	return nil
}

func claimKey(k *wasabistandv1.ClaimKey) [32]byte {
	return digest(k.GetCaller(), k.GetService(), k.GetKey())
}

func responseDigest(a *wasabistandv1.RecordedAnswer) [16]byte {
	fields := make([]string, 0, 3+2*len(a.GetHeaders()))
	fields = append(fields, strconv.FormatUint(uint64(a.GetStatus()), 10), strconv.FormatBool(a.GetBodyOmitted()), string(a.GetBody()))
	for _, h := range a.GetHeaders() {
		fields = append(fields, h.GetName(), h.GetValue())
	}
	d := digest(fields...)
	return [16]byte(d[:])
}
