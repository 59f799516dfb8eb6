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
	// maxRecordedBytes is the largest response body that is stored for retries.
	maxRecordedBytes = 64 << 10
	// fingerprintBytes is how much of a request body the fingerprint covers.
	fingerprintBytes = 64 << 10
	// settleGrace is how long after a call's deadline its claim can still be
	// settled; after that the claim's outcome is unknown.
	settleGrace         = 5 * time.Second
	settleRetryInterval = 100 * time.Millisecond
)

// fingerprint returns a hash that identifies a request, so that an idempotency
// key can't be reused for another request.
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

// takeClaim claims the idempotency key of a non-idempotent call. If it returns
// neither a recorded response nor a refusal, the call may be dispatched.
func (n *Node) takeClaim(ctx context.Context, c wasabistand.Claim) (*wasabistand.RecordedResponse, *wasabistand.Refusal) {
	ctx, cancel := context.WithDeadline(ctx, c.Expires)
	defer cancel()
	state, err := n.parts.Claims.Take(ctx, c)
	if err != nil {
		if refusal := (*wasabistand.Refusal)(nil); errors.As(err, &refusal) {
			return nil, refusal
		}
		// The command may still arrive and the claim be granted, so release it.
		n.settleClaim(c, wasabistand.Settlement{Outcome: wasabistand.NotRun})
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
			// An empty body would look like the complete response.
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

// settleClaim records the outcome of a claimed call in the background, without
// delaying the caller's response. It retries until the claim's outcome counts as
// unknown anyway.
func (n *Node) settleClaim(c wasabistand.Claim, s wasabistand.Settlement) {
	n.pendingSettlements.Add(1)
	n.background.Go(func() {
		defer n.pendingSettlements.Add(-1)
		ctx, cancel := context.WithDeadline(n.callsCtx, c.Deadline.Add(settleGrace))
		defer cancel()
		for {
			err := n.parts.Claims.Settle(ctx, c, s)
			if err == nil {
				break
			}
			select {
			case <-ctx.Done():
				return
			case <-time.After(settleRetryInterval):
			}
		}
		n.parts.Recorder.Record(wasabistand.Event{Kind: wasabistand.EventClaimSettled, Service: c.Service, Caller: c.Caller, Fields: []wasabistand.HeaderField{{Name: "Outcome", Value: s.Outcome.String()}}})
	})
}

// recording records a response for retries with the same key while it is
// forwarded.
type recording struct {
	status  int
	headers []wasabistand.HeaderField
	body    []byte
	omitted bool
}

func (r *recording) add(p []byte) {
	if r.omitted || len(r.body)+len(p) > maxRecordedBytes {
		r.omitted, r.body = true, nil
		return
	}
	r.body = append(r.body, p...)
}

// settlement returns the settlement of the claim of a call that ended with the
// refusal, or with the recorded response when refusal is nil.
func (r *recording) settlement(refusal *wasabistand.Refusal) wasabistand.Settlement {
	if refusal != nil {
		return wasabistand.Settlement{Outcome: refusal.Outcome}
	}
	return wasabistand.Settlement{Outcome: wasabistand.Answered, Response: &wasabistand.RecordedResponse{Status: r.status, Headers: r.headers, Body: r.body, BodyOmitted: r.omitted}}
}

// omitContentType prevents net/http from adding a Content-Type that the upstream
// did not set.
func omitContentType(h http.Header) {
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
}

// replay answers a retry with the recorded response.
func replay(w http.ResponseWriter, r *http.Request, recorded *wasabistand.RecordedResponse) {
	h := w.Header()
	for _, f := range recorded.Headers {
		h.Add(f.Name, f.Value)
	}
	omitContentType(h)
	h.Set(wasabiheader.Outcome, wasabistand.Answered.String())
	h.Set(wasabiheader.Replayed, "true")
	w.WriteHeader(recorded.Status)
	if bodyAllowed(r.Method, recorded.Status) {
		_, _ = w.Write(recorded.Body)
	}
}
