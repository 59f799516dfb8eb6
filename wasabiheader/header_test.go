package wasabiheader_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wasabistand/wasabistand"
	_ "github.com/wasabistand/wasabistand/internal/wasabiseed"
	"github.com/wasabistand/wasabistand/wasabiheader"
)

// Guards against header values that are not validated: all accepted values are
// within the bounds, and each refusal is a 400.
func TestParseAcceptsOnlyWhatIsAllowed(t *testing.T) {
	names := []string{wasabiheader.Service, wasabiheader.Caller, wasabiheader.Timeout, wasabiheader.Request, wasabiheader.Call, wasabiheader.IdempotencyKey}
	value := rapid.OneOf(rapid.StringMatching(`[ -~]{0,140}`), rapid.String(), rapid.Map(rapid.Int64(), func(n int64) string { return strconv.FormatInt(n, 10) }))
	rapid.Check(t, func(t *rapid.T) {
		r := &http.Request{Method: http.MethodGet, Host: rapid.SampledFrom([]string{"", "a.example", "127.0.0.1:80", "[::1]:80", "b"}).Draw(t, "host"), Header: http.Header{}}
		for _, name := range names {
			if rapid.Bool().Draw(t, "set") {
				r.Header[name] = rapid.SliceOfN(value, 1, 2).Draw(t, name)
			}
		}
		f, refusal := wasabiheader.Parse(r)
		if refusal != nil {
			if wasabiheader.Status(refusal) != http.StatusBadRequest || refusal.Outcome != wasabistand.NotRun || refusal.Detail == "" {
				t.Fatalf("refusal %v", refusal)
			}
			return
		}
		if f.Timeout < 0 || f.Timeout > wasabiheader.MaxTimeout || r.Header[wasabiheader.Timeout] != nil && f.Timeout == 0 {
			t.Fatalf("timeout %v of %q", f.Timeout, r.Header[wasabiheader.Timeout])
		}
		if f.Service == "" || len(f.Service) > 128 || len(f.Caller) > 128 || len(f.Request) > 64 || len(f.Call) > 64 || len(f.Key) > 128 {
			t.Fatalf("fields %+v", f)
		}
	})
}

// Guards against refusals whose status, outcome or retry delay contradict the table
// of the design page.
func TestWriteRefusalStatusAndHeaders(t *testing.T) {
	for _, c := range []struct {
		refusal    *wasabistand.Refusal
		status     int
		outcome    string
		retryAfter bool
	}{
		{wasabistand.NewRefusal(wasabistand.ReasonQueueFull, ""), 503, "not-run", true},
		{wasabistand.NewRefusal(wasabistand.ReasonClaim, ""), 503, "not-run", true},
		{wasabistand.NewRefusal(wasabistand.ReasonCallerShare, ""), 429, "not-run", true},
		{wasabistand.NewRefusal(wasabistand.ReasonBadRequest, ""), 400, "not-run", false},
		{wasabistand.NewRefusal(wasabistand.ReasonClaimMismatch, ""), 422, "not-run", false},
		{wasabistand.NewRefusal(wasabistand.ReasonTooLarge, ""), 413, "not-run", false},
		{wasabistand.NewRefusal(wasabistand.ReasonDeadline, ""), 504, "not-run", false},
		{wasabistand.NewUnknown(wasabistand.ReasonTimeout, ""), 504, "unknown", false},
		{wasabistand.NewUnknown(wasabistand.ReasonTruncated, ""), 502, "unknown", false},
		{wasabistand.NewUnknown(wasabistand.ReasonClaimHeld, ""), 409, "already-running", true},
		{&wasabistand.Refusal{Outcome: wasabistand.Answered, Reason: wasabistand.ReasonAlreadyRun}, 409, "answered", false},
	} {
		w := httptest.NewRecorder()
		wasabiheader.WriteRefusal(w, c.refusal.WithRetryAfter(2*time.Second), "r", 0.999)
		assert.Equal(t, w.Code, c.status)
		assert.Equal(t, w.Header().Get(wasabiheader.Outcome), c.outcome)
		after := ""
		if c.retryAfter {
			after = "2999"
		}
		assert.Equal(t, w.Header().Get(wasabiheader.RetryAfterMs), after)
		var body map[string]any
		assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &body))
		assert.Equal(t, body["reason"], string(c.refusal.Reason))
		assert.Equal(t, body["status"], float64(c.status))
	}
}

// Guards against forwarding hop-by-hop headers or Wasabi headers to the next process.
func TestForwardableDropsConnectionHeaders(t *testing.T) {
	h := http.Header{"Connection": {"x-one, Keep-Alive", "X-Two"}, "X-One": {"1"}, "X-Two": {"2"}, "Keep-Alive": {"3"}, "Te": {"trailers"}, "Transfer-Encoding": {"chunked"}, "Wasabi-Call": {"t"}, "Upgrade": {"h2c"}, "X-Kept": {"a", "b"}}
	assert.DeepEqual(t, wasabiheader.Forwardable(h), []wasabistand.HeaderField{{Name: "X-Kept", Value: "a"}, {Name: "X-Kept", Value: "b"}})
}
