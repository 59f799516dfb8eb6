package wasabinode

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/net/http/httpguts"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/wasabiheader"
	"github.com/wasabistand/wasabistand/wasabilink"
	"github.com/wasabistand/wasabistand/wasabiwire"
)

// startTimeout limits the wait for the first frame of a stream.
const startTimeout = 5 * time.Second

// endTimeout is the minimum time that the other node has to close a stream after
// the last frame was sent; it also has until the call's deadline. A link that
// closes earlier can lose that frame, and yamux resets a stream some time after
// one end closed it, even if the other end has unread data.
const endTimeout = time.Second

// serveStream serves one call from another node.
func (n *Node) serveStream(ctx context.Context, kind wasabistandv1.StreamOpen_Kind, stream *wasabilink.Stream) {
	if kind != wasabistandv1.StreamOpen_KIND_CALL {
		return
	}
	n.openStreams.Add(1)
	defer n.openStreams.Add(-1)
	_ = stream.SetDeadline(time.Now().Add(startTimeout))
	var frame wasabistandv1.CallFrame
	if stream.Receive(&frame) != nil {
		return
	}
	_ = stream.SetDeadline(time.Time{})
	if frame.GetStart() == nil {
		return
	}
	n.observeTime(frame.GetStart().Time)
	a, err := parseCallStart(frame.GetStart(), n.now())
	if err != nil {
		n.sendResult(stream, refusedResult(wasabistand.NewRefusal(wasabistand.ReasonBadRequest, err.Error())))
		return
	}
	// The context is not derived from the link's, since a non-idempotent call
	// that was dispatched must continue when the link is lost.
	callCtx, cancel := context.WithCancelCause(n.callsCtx)
	defer cancel(nil)
	body := newFrameBody(a.bodyLength)
	if a.bodyLength != 0 {
		a.body = body
	}
	out := &frameSink{node: n, stream: stream, mustComplete: !a.idempotent}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		body.receive(stream)
		out.callerGone.Store(true)
		_ = stream.SetDeadline(expiredDeadline)
		cancel(errCallerGone)
	}()
	refusal := n.upstreamCalls.add(false)
	if refusal == nil {
		// The call counts as open until the other node has received the complete
		// response.
		defer n.upstreamCalls.remove()
	}
	n.sendResult(stream, n.serveAttempt(callCtx, a, out, refusal))
	body.close()
	_ = stream.SetDeadline(time.Now().Add(max(a.deadline.Sub(n.now())+responseGrace, endTimeout)))
	<-ended
}

var errCallerGone = errors.New("the caller went away")

// parseCallStart validates the start frame of a call from another node and
// returns its attempt.
func parseCallStart(m *wasabistandv1.CallStart, now time.Time) (*attempt, error) {
	u, err := url.ParseRequestURI(m.Path)
	switch {
	case err != nil || !strings.HasPrefix(m.Path, "/") || u.Host != "":
		return nil, wasabistand.ErrInvalid.New("path: %.64q, allowed is an absolute path with query", m.Path)
	case m.ContentLength < -1:
		return nil, wasabistand.ErrInvalid.New("content_length: %d, allowed are -1 and above", m.ContentLength)
	case m.RetryAllowance > maxRetryBudget:
		return nil, wasabistand.ErrInvalid.New("retry_allowance: %d, at most %d are allowed", m.RetryAllowance, maxRetryBudget)
	}
	for _, f := range []struct {
		name, value string
		max         int
	}{
		{"service", m.Service, wasabiheader.MaxNameBytes},
		{"call", m.Call, wasabiheader.MaxNameBytes},
		{"caller", m.Caller, wasabiheader.MaxNameBytes},
		{"method", m.Method, wasabiheader.MaxNameBytes},
		{"request_id", m.RequestId, wasabiheader.MaxRequestBytes},
		{"idempotency_key", m.IdempotencyKey, wasabiheader.MaxKeyBytes},
	} {
		if len(f.value) > f.max || !httpguts.ValidHeaderFieldValue(f.value) {
			return nil, wasabistand.ErrInvalid.New("%s: %.64q, allowed are printable characters, at most %d bytes", f.name, f.value, f.max)
		}
	}
	timeout := time.Duration(min(m.TimeoutUs, uint64(wasabiheader.MaxTimeout.Microseconds()))) * time.Microsecond
	a := &attempt{
		requestID:      m.RequestId,
		kind:           wasabistand.CallKind{Service: m.Service, Call: m.Call},
		caller:         m.Caller,
		method:         m.Method,
		path:           m.Path,
		deadline:       now.Add(timeout),
		importance:     wasabiwire.ToImportance(m.Importance),
		idempotent:     m.Idempotent,
		idempotencyKey: m.IdempotencyKey,
		retryBudget:    int(m.RetryAllowance),
		number:         int(m.Attempt),
		bodyLength:     m.ContentLength,
		revision:       m.Revision,
	}
	if !httpguts.ValidHeaderFieldName(m.Method) {
		return nil, wasabistand.ErrInvalid.New("method: %q, allowed is an HTTP token", m.Method)
	}
	for _, h := range m.Headers {
		name := http.CanonicalHeaderKey(h.GetName())
		if !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(h.GetValue()) {
			return nil, wasabistand.ErrInvalid.New("headers: %.64q, allowed are HTTP fields", h.GetName())
		}
		if wasabiheader.IsForwardable(name) {
			a.headers = append(a.headers, wasabistand.HeaderField{Name: name, Value: h.GetValue()})
		}
	}
	return a, nil
}

// maxRetryBudget is the largest request retry budget that a configuration can
// grant.
const maxRetryBudget = 100

// frameBody reads a request body that arrives in frames.
type frameBody struct {
	length    int64
	chunks    chan []byte
	closed    chan struct{}
	complete  chan struct{} // closed after the end frame
	truncated chan struct{} // closed when the stream ended before the end frame
	unread    []byte
}

func newFrameBody(length int64) *frameBody {
	return &frameBody{length: length, chunks: make(chan []byte), closed: make(chan struct{}), complete: make(chan struct{}), truncated: make(chan struct{})}
}

// receive receives frames until the stream ends. Frames after the end frame are
// not allowed.
func (b *frameBody) receive(stream *wasabilink.Stream) {
	var total uint64
	var ended bool
	for {
		var frame wasabistandv1.CallFrame
		if stream.Receive(&frame) != nil {
			break
		}
		switch k := frame.Kind.(type) {
		case *wasabistandv1.CallFrame_Body:
			total += uint64(len(k.Body))
			if ended || b.length >= 0 && total > uint64(b.length) {
				close(b.truncated)
				return
			}
			select {
			case b.chunks <- k.Body:
			case <-b.closed:
			}
		case *wasabistandv1.CallFrame_End:
			if ended || k.End.BodyBytes != total || b.length >= 0 && total != uint64(b.length) {
				if !ended {
					close(b.truncated)
				}
				return
			}
			ended = true
			close(b.complete)
		default:
			if !ended {
				close(b.truncated)
			}
			return
		}
	}
	if !ended {
		close(b.truncated)
	}
}

// close makes receive discard the rest of the body.
func (b *frameBody) close() { close(b.closed) }

// Read implements io.Reader.
func (b *frameBody) Read(p []byte) (int, error) {
	for len(b.unread) == 0 {
		select {
		case b.unread = <-b.chunks:
		case <-b.complete:
			return 0, io.EOF
		case <-b.truncated:
			return 0, io.ErrUnexpectedEOF
		case <-b.closed:
			return 0, errBodyStopped
		}
	}
	n := copy(p, b.unread)
	b.unread = b.unread[n:]
	return n, nil
}

// frameSink is the responseSink that sends frames to another node.
type frameSink struct {
	node         *Node
	stream       *wasabilink.Stream
	mustComplete bool // continue after the other node closed the stream
	callerGone   atomic.Bool
	frame        wasabistandv1.CallFrame_Body
	message      wasabistandv1.CallFrame
}

func (f *frameSink) writeHeader(status int, headers []wasabistand.HeaderField, length int64) error {
	m := &wasabistandv1.CallAnswer{Status: uint32(status), Headers: wasabiwire.FromHeaders(headers), ContentLength: length, Time: f.node.timestamp()}
	return f.send(&wasabistandv1.CallFrame{Kind: &wasabistandv1.CallFrame_Answer{Answer: m}})
}

func (f *frameSink) writeBody(p []byte) error {
	f.frame.Body = p
	f.message.Kind = &f.frame
	return f.send(&f.message)
}

func (f *frameSink) send(m *wasabistandv1.CallFrame) error {
	if f.callerGone.Load() && f.mustComplete {
		return nil
	}
	if err := f.stream.Send(m); err != nil && !f.mustComplete {
		return err
	}
	return nil
}

// sendResult sends the end frame or the refusal of an attempt.
func (n *Node) sendResult(stream *wasabilink.Stream, result attemptResult) {
	var load *wasabistandv1.Load
	if result.load != nil {
		load = wasabiwire.FromLoad(*result.load)
	}
	if result.refusal == nil {
		m := &wasabistandv1.CallEnd{BodyBytes: uint64(result.bytes), UnusedAllowance: uint32(result.unusedRetries), Load: load, Trailers: wasabiwire.FromHeaders(result.trailers)}
		_ = stream.Send(&wasabistandv1.CallFrame{Kind: &wasabistandv1.CallFrame_End{End: m}})
		return
	}
	m := &wasabistandv1.CallRefusal{
		Outcome:         wasabistandv1.CallRefusal_OUTCOME_UNKNOWN,
		Reason:          string(result.refusal.Reason),
		RetryAfterMs:    uint32(min(max(result.refusal.RetryAfter.Milliseconds(), 0), 3_600_000)),
		UnusedAllowance: uint32(result.unusedRetries),
		Load:            load,
	}
	if result.refusal.Outcome == wasabistand.NotRun {
		m.Outcome = wasabistandv1.CallRefusal_OUTCOME_NOT_RUN
	}
	_ = stream.Send(&wasabistandv1.CallFrame{Kind: &wasabistandv1.CallFrame_Refusal{Refusal: m}})
}
