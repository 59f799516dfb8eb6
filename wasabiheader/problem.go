package wasabiheader

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/wasabistand/wasabistand"
)

// problem is a problem details object (RFC 9457).
type problem struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail,omitempty"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Request string `json:"request,omitempty"`
}

func badRequest(format string, args ...any) *wasabistand.Refusal {
	return wasabistand.NewRefusal(wasabistand.ReasonBadRequest, fmt.Sprintf(format, args...))
}

// Status returns the HTTP status of a refusal. All mapping of refusals to HTTP status
// codes is done here.
func Status(r *wasabistand.Refusal) int {
	switch r.Reason {
	case wasabistand.ReasonClaimHeld, wasabistand.ReasonAlreadyRun:
		return http.StatusConflict
	case wasabistand.ReasonClaimMismatch:
		return http.StatusUnprocessableEntity
	case wasabistand.ReasonCallerShare:
		return http.StatusTooManyRequests
	case wasabistand.ReasonBadRequest:
		return http.StatusBadRequest
	case wasabistand.ReasonUnknownCall:
		return http.StatusNotFound
	case wasabistand.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case wasabistand.ReasonDeadline, wasabistand.ReasonTimeout:
		return http.StatusGatewayTimeout
	}
	if r.Outcome == wasabistand.NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// outcomeName returns the value of Wasabi-Outcome. A call whose idempotency key is in
// use by a running call has its own value: the call has not failed, and the caller
// must not give it up.
func outcomeName(r *wasabistand.Refusal) string {
	if r.Reason == wasabistand.ReasonClaimHeld {
		return string(wasabistand.ReasonClaimHeld)
	}
	return r.Outcome.String()
}

// defaultRetryAfter is used when a refusal has no RetryAfter.
const defaultRetryAfter = 500 * time.Millisecond

// WriteRefusal writes a refusal as the response to a request. random, in [0, 1), adds
// jitter of up to half the retry delay, so that callers refused at the same time do
// not all retry at the same time.
func WriteRefusal(w http.ResponseWriter, r *wasabistand.Refusal, request string, random float64) {
	status := Status(r)
	h := w.Header()
	h.Set(Outcome, outcomeName(r))
	h.Set("Content-Type", "application/problem+json")
	h.Set("Cache-Control", "no-store")
	if r.Reason == wasabistand.ReasonAlreadyRun {
		h.Set(Replayed, "true")
	}
	switch {
	case r.Reason == wasabistand.ReasonAlreadyRun:
	case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests, status == http.StatusConflict:
		after := r.RetryAfter
		if after <= 0 {
			after = defaultRetryAfter
		}
		after += time.Duration(random * float64(after) / 2)
		h.Set(RetryAfterMs, strconv.FormatInt(max(after.Milliseconds(), 1), 10))
		h.Set(RetryAfter, strconv.FormatInt(int64((after+time.Second-1)/time.Second), 10))
	}
	body, err := json.Marshal(problem{
		Type:    "about:blank",
		Title:   http.StatusText(status),
		Status:  status,
		Detail:  r.Detail,
		Outcome: outcomeName(r),
		Reason:  string(r.Reason),
		Request: request,
	})
	if err != nil {
		body = nil
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
