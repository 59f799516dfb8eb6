package wasabinode

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/wasabiheader"
)

const (
	// recordBytes is the largest body that is kept for resends.
	recordBytes = 64 << 10
	// fingerprintBytes is how much of a body the fingerprint covers.
	fingerprintBytes = 64 << 10
	// settleGrace is how long after a call's deadline its claim can still be
	// settled; then it reads as unknown.
	settleGrace = 5 * time.Second
	settlePause = 100 * time.Millisecond
)

// fingerprint identifies a request, so that a key isn't used for another.
func fingerprint(service string, r *http.Request, prefix []byte) [32]byte {
	h := sha256.New()
	var size [8]byte
	for _, s := range []string{service, r.Method, r.URL.RequestURI(), r.Header.Get("Content-Type"), string(prefix)} {
		binary.BigEndian.PutUint64(size[:], uint64(len(s)))
		h.Write(size[:])
		h.Write([]byte(s))
	}
	binary.BigEndian.PutUint64(size[:], uint64(r.ContentLength))
	h.Write(size[:])
	return [32]byte(h.Sum(nil))
}

// claim takes the key of a non-idempotent call. Without a refusal or an
// answer the call may be dispatched.
func (n *Node) claim(ctx context.Context, c wasabistand.Claim) (*wasabistand.RecordedResponse, *wasabistand.Refusal) {
	ctx, cancel := context.WithDeadline(ctx, c.Expires)
	defer cancel()
	state, err := n.parts.Claims.Take(ctx, c)
	if err != nil {
		if refusal := (*wasabistand.Refusal)(nil); errors.As(err, &refusal) {
			return nil, refusal
		}
		// The command may still arrive and be granted: release it.
		n.settle(c, wasabistand.Settlement{Outcome: wasabistand.NotRun})
		return nil, wasabistand.NewRefusal(wasabistand.ReasonClaim, err.Error())
	}
	switch state.Status {
	case wasabistand.ClaimGranted:
		return nil, nil
	case wasabistand.ClaimAnswered:
		if state.Response == nil {
			break
		}
		if state.Response.BodyOmitted {
			// An empty body would look like the whole answer.
			detail := fmt.Sprintf("the call was answered with status %d; its body was too large to keep", state.Response.Status)
			return nil, &wasabistand.Refusal{Outcome: wasabistand.Answered, Reason: wasabistand.ReasonAlreadyRun, Detail: detail}
		}
		return state.Response, nil
	case wasabistand.ClaimHeld:
		return nil, &wasabistand.Refusal{Outcome: wasabistand.Unknown, Reason: wasabistand.ReasonClaimHeld, Detail: "a call with this key has not ended"}
	case wasabistand.ClaimMismatch:
		return nil, wasabistand.NewRefusal(wasabistand.ReasonClaimMismatch, "Idempotency-Key: used for another request")
	}
	return nil, wasabistand.NewUnknown(wasabistand.ReasonClaimUnknown, "a call with this key may have run, its outcome is lost")
}

// settle records the outcome of a claimed call beside the caller's answer. It
// tries until the claim reads as unknown anyway.
func (n *Node) settle(c wasabistand.Claim, s wasabistand.Settlement) {
	n.settling.Add(1)
	n.background.Go(func() {
		defer n.settling.Add(-1)
		ctx, cancel := context.WithDeadline(n.life, c.Deadline.Add(settleGrace))
		defer cancel()
		for {
			err := n.parts.Claims.Settle(ctx, c, s)
			if err == nil {
				break
			}
			select {
			case <-ctx.Done():
				return
			case <-time.After(settlePause):
			}
		}
		n.parts.Recorder.Record(wasabistand.Event{Kind: wasabistand.EventClaimSettled, Service: c.Service, Caller: c.Caller, Fields: []wasabistand.HeaderField{{Name: "Outcome", Value: s.Outcome.String()}}})
	})
}

// recording keeps an answer for resends while it passes.
type recording struct {
	status  int
	headers []wasabistand.HeaderField
	body    []byte
	omitted bool
}

func (r *recording) add(p []byte) {
	if r.omitted || len(r.body)+len(p) > recordBytes {
		r.omitted, r.body = true, nil
		return
	}
	r.body = append(r.body, p...)
}

// settlement returns what a call's ending means for its claim.
func (r *recording) settlement(refusal *wasabistand.Refusal) wasabistand.Settlement {
	if refusal != nil {
		return wasabistand.Settlement{Outcome: refusal.Outcome}
	}
	return wasabistand.Settlement{Outcome: wasabistand.Answered, Response: &wasabistand.RecordedResponse{Status: r.status, Headers: r.headers, Body: r.body, BodyOmitted: r.omitted}}
}

// keepType keeps net/http from adding a type that the upstream did not state.
func keepType(h http.Header) {
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
}

// replay answers a resend from the record.
func replay(w http.ResponseWriter, r *http.Request, a *wasabistand.RecordedResponse) {
	h := w.Header()
	for _, f := range a.Headers {
		h.Add(f.Name, f.Value)
	}
	keepType(h)
	h.Set(wasabiheader.Outcome, wasabistand.Answered.String())
	h.Set(wasabiheader.Replayed, "true")
	w.WriteHeader(a.Status)
	if bodyAllowed(r.Method, a.Status) {
		_, _ = w.Write(a.Body)
	}
}
