package wasabinode

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/wasabistand/wasabistand"
)

// chunkBytes is the largest piece of a body in one frame.
const chunkBytes = 32 << 10

// attempt is one try of a call at one instance. Both carriers, the link and
// the direct call, take it.
type attempt struct {
	requestID  string
	kind       wasabistand.CallKind
	caller     string
	method     string
	path       string
	headers    []wasabistand.HeaderField
	deadline   time.Time
	importance wasabistand.Importance
	idempotent bool
	key        string
	allowance  int
	number     int
	length     int64 // of the body, -1 when unknown
	revision   uint64
	body       io.Reader // nil for none
}

// ending is how an attempt ended. A nil refusal means a whole answer.
type ending struct {
	refusal  *wasabistand.Refusal
	bytes    int64 // of the answer's body
	unused   int
	lost     bool // nothing is known of the unused allowance
	faulty   bool // the instance is at fault
	load     *wasabistand.Load
	trailers []wasabistand.HeaderField
}

// sink takes an answer while it arrives. An error ends the attempt.
type sink interface {
	answer(status int, headers []wasabistand.HeaderField, length int64) error
	body(p []byte) error
}

// carrier takes an attempt to an instance.
type carrier func(ctx context.Context, a *attempt, s sink) ending

func refused(r *wasabistand.Refusal) ending { return ending{refusal: r} }

// bodyAllowed reports whether an answer may have a body.
func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}
