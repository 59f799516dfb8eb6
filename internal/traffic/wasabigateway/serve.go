package wasabigateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/wasabilink"
	"github.com/wasabistand/wasabistand/wasabiwire"
)

const (
	// firstFrameTimeout bounds the wait for a stream's first frame.
	firstFrameTimeout = 5 * time.Second
	// maxTimeout bounds the timeout that another node may request.
	maxTimeout = time.Hour
	// endTimeout is how long the other node may take to read the last frame before
	// the stream is closed.
	endTimeout = 5 * time.Second
)

// serveStream serves one attempt from another node.
func (g *Gateway) serveStream(ctx context.Context, kind wasabistandv1.StreamOpen_Kind, stream *wasabilink.Stream) {
	if kind != wasabistandv1.StreamOpen_KIND_ROUTED {
		return
	}
	_ = stream.SetDeadline(time.Now().Add(firstFrameTimeout))
	var frame wasabistandv1.CallFrame
	if stream.Receive(&frame) != nil {
		return
	}
	_ = stream.SetDeadline(time.Time{})
	m := frame.GetStart()
	if m == nil {
		return
	}
	g.remoteAttempts.Add(1)
	defer g.remoteAttempts.Add(-1)
	a, err := toAttempt(m, g.now())
	if err != nil {
		g.sendOutcome(stream, notRunOutcome(wasabistand.ReasonBadRequest, err.Error()))
		return
	}
	callerCtx, cancel := context.WithCancel(g.ctx)
	defer cancel()
	withdrawn := make(chan struct{})
	a.withdrawn = withdrawn
	var body *io.PipeWriter
	if !m.GetWhole() {
		var r *io.PipeReader
		r, body = io.Pipe()
		a.rest = r
		if m.GetAwaitsContinue() {
			a.rest = &continueReader{PipeReader: r, ask: func() {
				_ = stream.Send(&wasabistandv1.CallFrame{Kind: &wasabistandv1.CallFrame_Continue{Continue: &wasabistandv1.CallContinue{}}})
			}}
		}
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		receiveRest(stream, uint64(len(a.body)), body, withdrawn)
		cancel()
		// The other node reads no further: a response that is being sent ends.
		_ = stream.SetDeadline(expiredDeadline)
	}()
	out := g.runLocal(callerCtx, a)
	g.logAttempt("served", a, out)
	g.sendOutcome(stream, out)
	// The stream ends right after the response, unless the other node may still be
	// sending the body: then it closes the stream when it has read the response.
	deadline := expiredDeadline
	if a.rest != nil {
		_ = a.rest.Close()
		deadline = time.Now().Add(endTimeout)
	}
	_ = stream.SetDeadline(deadline)
	<-ended
}

// sendOutcome sends the outcome of an attempt to the other node.
func (g *Gateway) sendOutcome(stream *wasabilink.Stream, out outcome) {
	if r := out.refusal; r != nil {
		m := &wasabistandv1.CallRefusal{
			Outcome: wasabistandv1.CallRefusal_OUTCOME_UNKNOWN, Reason: string(r.Reason), Detail: truncateDetail(r.Detail),
			RetryAfterMs: uint32(min(max(r.RetryAfter.Milliseconds(), 0), 3_600_000)), Arrived: out.arrived, Faulty: out.faulty,
		}
		if r.Outcome == wasabistand.NotRun {
			m.Outcome = wasabistandv1.CallRefusal_OUTCOME_NOT_RUN
		}
		if out.load != nil {
			m.Load = wasabiwire.FromLoad(*out.load)
		}
		_ = stream.Send(&wasabistandv1.CallFrame{Kind: &wasabistandv1.CallFrame_Refusal{Refusal: m}})
		return
	}
	resp := out.response
	defer resp.release()
	m := &wasabistandv1.CallAnswer{
		Status: uint32(resp.status), ContentLength: resp.length, Body: resp.body, Whole: resp.rest == nil, ServiceUs: uint64(out.serviceTime.Microseconds()),
	}
	for name, values := range resp.headers {
		for _, v := range values {
			m.Headers = append(m.Headers, &wasabistandv1.Header{Name: name, Value: v})
		}
	}
	if out.load != nil {
		m.Load = wasabiwire.FromLoad(*out.load)
	}
	if stream.Send(&wasabistandv1.CallFrame{Kind: &wasabistandv1.CallFrame_Answer{Answer: m}}) != nil || resp.rest == nil {
		return
	}
	total := uint64(len(resp.body))
	// The rest may take long, and only its chunks are held meanwhile.
	resp.body = nil
	p := chunkPool.Get().(*[]byte)
	defer chunkPool.Put(p)
	for {
		n, err := resp.rest.Read(*p)
		if n > 0 {
			total += uint64(n)
			if stream.Send(&wasabistandv1.CallFrame{Kind: &wasabistandv1.CallFrame_Body{Body: (*p)[:n]}}) != nil {
				return
			}
		}
		if err == io.EOF {
			_ = stream.Send(endFrame(total, out.load))
			return
		}
		if err != nil {
			// The stream ends without an end frame: the response is truncated.
			return
		}
	}
}

const maxDetailBytes = 200

func truncateDetail(s string) string { return s[:min(len(s), maxDetailBytes)] }

// toAttempt checks and converts an attempt from another node.
func toAttempt(m *wasabistandv1.CallStart, now time.Time) (*attempt, error) {
	if !strings.HasPrefix(m.GetPath(), "/") || strings.ContainsAny(m.GetPath(), " \r\n\x00") {
		return nil, wasabistand.ErrInvalid.New("path: %.64q, allowed is an absolute path with query", m.GetPath())
	}
	if !httpguts.ValidHeaderFieldName(m.GetMethod()) {
		return nil, wasabistand.ErrInvalid.New("method: %.32q, allowed is an HTTP token", m.GetMethod())
	}
	if m.GetContentLength() < -1 {
		return nil, wasabistand.ErrInvalid.New("content_length: %d, allowed are -1 and above", m.GetContentLength())
	}
	timeout := time.Duration(min(m.GetTimeoutUs(), uint64(maxTimeout/time.Microsecond))) * time.Microsecond
	a := &attempt{
		requestID: m.GetRequestId(), service: m.GetService(), route: m.GetCall(), origin: m.GetCaller(),
		method: m.GetMethod(), target: m.GetPath(), deadline: now.Add(timeout),
		objective:  now.Add(time.Duration(m.GetObjectiveUs()) * time.Microsecond),
		importance: wasabiwire.ToImportance(m.GetImportance()), retryable: m.GetIdempotent(),
		number: int(m.GetAttempt()), revision: m.GetRevision(), length: m.GetContentLength(), body: m.GetBody(),
	}
	for _, h := range m.GetHeaders() {
		name := http.CanonicalHeaderKey(h.GetName())
		if !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(h.GetValue()) {
			return nil, wasabistand.ErrInvalid.New("headers: %.64q, allowed are HTTP fields", h.GetName())
		}
		switch {
		case name == "Host":
			a.host = h.GetValue()
		case !hopByHop[name]:
			a.headers = append(a.headers, wasabistand.HeaderField{Name: name, Value: h.GetValue()})
		}
	}
	return a, nil
}
