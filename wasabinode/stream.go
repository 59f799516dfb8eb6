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

// startTimeout bounds the wait for a stream's first frame.
const startTimeout = 5 * time.Second

// endTimeout is the least time for which the other node may keep a stream open
// whose last frame was sent; it may do so until the call's deadline. A link
// that closes earlier can lose that frame, and yamux resets a stream some time
// after one end closed it, although the other has data left to read.
const endTimeout = time.Second

// serveStream serves one call of another node.
func (n *Node) serveStream(ctx context.Context, kind wasabistandv1.StreamOpen_Kind, stream *wasabilink.Stream) {
	if kind != wasabistandv1.StreamOpen_KIND_CALL {
		return
	}
	n.streams.Add(1)
	defer n.streams.Add(-1)
	_ = stream.SetDeadline(time.Now().Add(startTimeout))
	var frame wasabistandv1.CallFrame
	if stream.Receive(&frame) != nil {
		return
	}
	_ = stream.SetDeadline(time.Time{})
	if frame.GetStart() == nil {
		return
	}
	n.observe(frame.GetStart().Time)
	a, err := toAttempt(frame.GetStart(), n.now())
	if err != nil {
		n.end(stream, refused(wasabistand.NewRefusal(wasabistand.ReasonBadRequest, err.Error())))
		return
	}
	// The call's life is not the link's: a non-idempotent call that was
	// dispatched goes on without it.
	life, cancel := context.WithCancelCause(n.life)
	defer cancel(nil)
	body := newFrameBody(a.length)
	if a.length != 0 {
		a.body = body
	}
	out := &frameSink{node: n, stream: stream, keep: !a.idempotent}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		body.run(stream)
		out.gone.Store(true)
		_ = stream.SetDeadline(past)
		cancel(errCallerGone)
	}()
	refusal := n.serving.enter(false)
	if refusal == nil {
		// The call counts as open until the other node has all of its answer.
		defer n.serving.leave()
	}
	n.end(stream, n.serve(life, a, out, refusal))
	body.close()
	_ = stream.SetDeadline(time.Now().Add(max(a.deadline.Sub(n.now())+answerGrace, endTimeout)))
	<-ended
}

var errCallerGone = errors.New("the caller went away")

// toAttempt checks a call from another node.
func toAttempt(m *wasabistandv1.CallStart, now time.Time) (*attempt, error) {
	u, err := url.ParseRequestURI(m.Path)
	switch {
	case err != nil || !strings.HasPrefix(m.Path, "/") || u.Host != "":
		return nil, wasabistand.ErrInvalid.New("path: %.64q, allowed is an absolute path with query", m.Path)
	case m.ContentLength < -1:
		return nil, wasabistand.ErrInvalid.New("content_length: %d, allowed are -1 and above", m.ContentLength)
	case m.RetryAllowance > maxAllowance:
		return nil, wasabistand.ErrInvalid.New("retry_allowance: %d, at most %d are allowed", m.RetryAllowance, maxAllowance)
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
		requestID:  m.RequestId,
		kind:       wasabistand.CallKind{Service: m.Service, Call: m.Call},
		caller:     m.Caller,
		method:     m.Method,
		path:       m.Path,
		deadline:   now.Add(timeout),
		importance: wasabiwire.ToImportance(m.Importance),
		idempotent: m.Idempotent,
		key:        m.IdempotencyKey,
		allowance:  int(m.RetryAllowance),
		number:     int(m.Attempt),
		length:     m.ContentLength,
		revision:   m.Revision,
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

// maxAllowance is the largest retry allowance that a configuration can grant.
const maxAllowance = 100

// frameBody is a request body that arrives in frames.
type frameBody struct {
	length int64
	pieces chan []byte
	closed chan struct{}
	whole  chan struct{} // closed after the end frame
	broken chan struct{} // closed when the stream ended before
	rest   []byte
}

func newFrameBody(length int64) *frameBody {
	return &frameBody{length: length, pieces: make(chan []byte), closed: make(chan struct{}), whole: make(chan struct{}), broken: make(chan struct{})}
}

// run receives until the stream ends. Frames after the end are not allowed.
func (b *frameBody) run(stream *wasabilink.Stream) {
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
				close(b.broken)
				return
			}
			select {
			case b.pieces <- k.Body:
			case <-b.closed:
			}
		case *wasabistandv1.CallFrame_End:
			if ended || k.End.BodyBytes != total || b.length >= 0 && total != uint64(b.length) {
				if !ended {
					close(b.broken)
				}
				return
			}
			ended = true
			close(b.whole)
		default:
			if !ended {
				close(b.broken)
			}
			return
		}
	}
	if !ended {
		close(b.broken)
	}
}

// close lets run go on without a reader.
func (b *frameBody) close() { close(b.closed) }

// Read implements io.Reader.
func (b *frameBody) Read(p []byte) (int, error) {
	for len(b.rest) == 0 {
		select {
		case b.rest = <-b.pieces:
		case <-b.whole:
			return 0, io.EOF
		case <-b.broken:
			return 0, io.ErrUnexpectedEOF
		case <-b.closed:
			return 0, errBodyStopped
		}
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// frameSink sends an answer in frames.
type frameSink struct {
	node    *Node
	stream  *wasabilink.Stream
	keep    bool // go on without the caller
	gone    atomic.Bool
	frame   wasabistandv1.CallFrame_Body
	message wasabistandv1.CallFrame
}

func (f *frameSink) answer(status int, headers []wasabistand.HeaderField, length int64) error {
	m := &wasabistandv1.CallAnswer{Status: uint32(status), Headers: wasabiwire.FromHeaders(headers), ContentLength: length, Time: f.node.stamp()}
	return f.send(&wasabistandv1.CallFrame{Kind: &wasabistandv1.CallFrame_Answer{Answer: m}})
}

func (f *frameSink) body(p []byte) error {
	f.frame.Body = p
	f.message.Kind = &f.frame
	return f.send(&f.message)
}

func (f *frameSink) send(m *wasabistandv1.CallFrame) error {
	if f.gone.Load() && f.keep {
		return nil
	}
	if err := f.stream.Send(m); err != nil && !f.keep {
		return err
	}
	return nil
}

// end sends how an attempt ended.
func (n *Node) end(stream *wasabilink.Stream, e ending) {
	var load *wasabistandv1.Load
	if e.load != nil {
		load = wasabiwire.FromLoad(*e.load)
	}
	if e.refusal == nil {
		m := &wasabistandv1.CallEnd{BodyBytes: uint64(e.bytes), UnusedAllowance: uint32(e.unused), Load: load, Trailers: wasabiwire.FromHeaders(e.trailers)}
		_ = stream.Send(&wasabistandv1.CallFrame{Kind: &wasabistandv1.CallFrame_End{End: m}})
		return
	}
	m := &wasabistandv1.CallRefusal{
		Outcome:         wasabistandv1.CallRefusal_OUTCOME_UNKNOWN,
		Reason:          string(e.refusal.Reason),
		RetryAfterMs:    uint32(min(max(e.refusal.RetryAfter.Milliseconds(), 0), 3_600_000)),
		UnusedAllowance: uint32(e.unused),
		Load:            load,
	}
	if e.refusal.Outcome == wasabistand.NotRun {
		m.Outcome = wasabistandv1.CallRefusal_OUTCOME_NOT_RUN
	}
	_ = stream.Send(&wasabistandv1.CallFrame{Kind: &wasabistandv1.CallFrame_Refusal{Refusal: m}})
}
