package wasabinode

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/wasabistand/wasabistand"
)

// chunkBytes is the maximum number of body bytes in one frame.
const chunkBytes = 32 << 10

// attempt is one attempt of a call at one instance. It is the same for attempts
// that are sent over a link and for those at the local upstream.
type attempt struct {
	requestID      string
	kind           wasabistand.CallKind
	caller         string
	method         string
	path           string
	headers        []wasabistand.HeaderField
	deadline       time.Time
	importance     wasabistand.Importance
	idempotent     bool
	idempotencyKey string
	retryBudget    int
	number         int
	bodyLength     int64 // -1 when unknown
	revision       uint64
	body           io.Reader // nil for none
}

// attemptResult is the result of an attempt. A nil refusal means a complete
// response.
type attemptResult struct {
	refusal        *wasabistand.Refusal
	bytes          int64 // of the response body
	unusedRetries  int
	retriesUnknown bool // unusedRetries is unknown
	instanceFailed bool // the failure counts against the instance
	load           *wasabistand.Load
	trailers       []wasabistand.HeaderField
}

// responseSink consumes a response while it arrives. An error from a method ends
// the attempt.
type responseSink interface {
	writeHeader(status int, headers []wasabistand.HeaderField, length int64) error
	writeBody(p []byte) error
}

// sendFunc sends an attempt to an instance and streams the response to s.
type sendFunc func(ctx context.Context, a *attempt, s responseSink) attemptResult

func refusedResult(r *wasabistand.Refusal) attemptResult { return attemptResult{refusal: r} }

// bodyAllowed reports whether a response may have a body.
func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}
