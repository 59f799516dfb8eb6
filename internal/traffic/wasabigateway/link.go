package wasabigateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/wasabilink"
	"github.com/wasabistand/wasabistand/wasabiwire"
)

const (
	chunkBytes = 32 << 10
	// versionWithContinue is the first version of the frames of calls with continue and
	// withdrawal.
	versionWithContinue = 1
)

// expiredDeadline unblocks pending reads and writes.
var expiredDeadline = time.Unix(1, 0)

var chunkPool = sync.Pool{New: func() any { b := make([]byte, chunkBytes); return &b }}

// sendToNode sends an attempt to the node next to an instance and returns its
// outcome. When the gateway stops, it asks that node to refuse the attempt if it still
// waits.
func (g *Gateway) sendToNode(ctx context.Context, address string, a *attempt) outcome {
	ctx, cancel := context.WithDeadline(ctx, a.deadline.Add(g.settings.responseGrace))
	link, err := g.pool.Get(ctx, address)
	if err != nil {
		defer cancel()
		return notSentOutcome(ctx, err)
	}
	knowsContinue := link.Peer().CallVersion >= versionWithContinue
	stream, sent, err := link.OpenWith(ctx, wasabistandv1.StreamOpen_KIND_ROUTED, &wasabistandv1.CallFrame{Kind: &wasabistandv1.CallFrame_Start{Start: g.startMessage(a, knowsContinue)}})
	if err != nil {
		defer cancel()
		if !sent {
			return notSentOutcome(ctx, err)
		}
		return noResponseOutcome(ctx, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(expiredDeadline) })
	stopWithdrawal := context.AfterFunc(g.waitCtx, func() {
		if knowsContinue {
			_ = stream.Send(&wasabistandv1.CallFrame{Kind: &wasabistandv1.CallFrame_Withdrawal{Withdrawal: &wasabistandv1.CallWithdrawal{}}})
		}
	})
	closeStream := func() {
		stopWithdrawal()
		stop()
		cancel()
		_ = stream.Close()
	}
	frames := &frameReader{stream: stream}
	if a.rest != nil {
		frames.onContinue = func() {
			g.background(func() {
				if sendBody(stream, uint64(len(a.body)), a.rest) != nil {
					// The call can't be completed.
					cancel()
				}
			})
		}
		if !knowsContinue {
			frames.handleContinue()
		}
	}
	out, complete := g.receiveResponse(ctx, frames, closeStream)
	stopWithdrawal()
	if complete && a.rest == nil {
		// The other node has nothing left to do for the request.
		stream.Finish()
	}
	if out.response == nil || out.response.rest == nil {
		closeStream()
	}
	return out
}

// notSentOutcome returns the outcome of an attempt of which nothing was sent.
func notSentOutcome(ctx context.Context, err error) outcome {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return notRunOutcome(wasabistand.ReasonDeadline, "the patience ended before the instance was reached")
	}
	if ctx.Err() != nil {
		return notRunOutcome(wasabistand.ReasonCancelled, "the caller went away, or the node stopped, before the instance was reached")
	}
	out := notRunOutcome(wasabistand.ReasonConnect, err.Error())
	out.faulty, out.unreachable = true, true
	return out
}

// noResponseOutcome returns the outcome of an attempt that got no response.
func noResponseOutcome(ctx context.Context, err error) outcome {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		out := unknownOutcome(wasabistand.ReasonTimeout, "the patience ended before the answer")
		out.faulty = true
		return out
	case ctx.Err() != nil:
		return unknownOutcome(wasabistand.ReasonCancelled, "the caller went away, or the node stopped")
	}
	out := unknownOutcome(wasabistand.ReasonLinkLost, err.Error())
	out.faulty, out.unreachable = true, true
	return out
}

func (g *Gateway) startMessage(a *attempt, knowsContinue bool) *wasabistandv1.CallStart {
	now := g.now()
	return &wasabistandv1.CallStart{
		RequestId: a.requestID, Service: a.service, Call: a.route, Caller: a.origin, Method: a.method, Path: a.target,
		Headers:   wasabiwire.FromHeaders(append(a.headers[:len(a.headers):len(a.headers)], wasabistand.HeaderField{Name: "Host", Value: a.host})),
		TimeoutUs: uint64(max(a.deadline.Sub(now).Microseconds(), 0)), Importance: wasabiwire.FromImportance(a.importance),
		Idempotent: a.retryable, Attempt: uint32(a.number), ContentLength: a.length, Revision: a.revision,
		Body: a.body, Whole: a.rest == nil, AwaitsContinue: a.rest != nil && knowsContinue, ObjectiveUs: a.objective.Sub(now).Microseconds(),
	}
}

// sendBody sends the remainder of a body in frames until its end. bodyBytes is the
// number of bytes of the body that the first frame had. It returns the error of reading
// the body.
func sendBody(stream *wasabilink.Stream, bodyBytes uint64, body io.Reader) error {
	p := chunkPool.Get().(*[]byte)
	defer chunkPool.Put(p)
	frame := &wasabistandv1.CallFrame_Body{}
	message := &wasabistandv1.CallFrame{Kind: frame}
	for {
		n, err := body.Read(*p)
		if n > 0 {
			bodyBytes += uint64(n)
			frame.Body = (*p)[:n]
			if stream.Send(message) != nil {
				return nil
			}
		}
		if err == io.EOF {
			_ = stream.Send(endFrame(bodyBytes, nil))
			return nil
		}
		if err != nil {
			// Without an end frame the other node treats the body as truncated.
			return err
		}
	}
}

func endFrame(bodyBytes uint64, l *wasabistand.Load) *wasabistandv1.CallFrame {
	e := &wasabistandv1.CallEnd{BodyBytes: bodyBytes}
	if l != nil {
		e.Load = wasabiwire.FromLoad(*l)
	}
	return &wasabistandv1.CallFrame{Kind: &wasabistandv1.CallFrame_End{End: e}}
}

// receiveResponse reads the head of a response and the buffered part of its body,
// or a refusal. complete reports whether the other node sends nothing after it.
func (g *Gateway) receiveResponse(ctx context.Context, frames *frameReader, closeStream func()) (out outcome, complete bool) {
	var frame wasabistandv1.CallFrame
	if err := frames.receive(&frame); err != nil {
		return noResponseOutcome(ctx, err), false
	}
	switch k := frame.Kind.(type) {
	case *wasabistandv1.CallFrame_Refusal:
		return g.refusalOutcome(k.Refusal), true
	case *wasabistandv1.CallFrame_Answer:
		m := k.Answer
		status := int(m.GetStatus())
		if status < 200 || status > 599 {
			return protocolError("answer with status %d", status), false
		}
		resp := &response{status: status, headers: http.Header{}, length: m.GetContentLength(), body: m.GetBody()}
		for _, h := range wasabiwire.ToHeaders(m.GetHeaders()) {
			resp.headers[h.Name] = append(resp.headers[h.Name], h.Value)
		}
		out = outcome{response: resp, arrived: true, load: wasabiwire.ToLoad(m.GetLoad()), serviceTime: time.Duration(m.GetServiceUs()) * time.Microsecond}
		if m.GetWhole() {
			resp.length = int64(len(resp.body))
			return out, true
		}
		frames.total = uint64(len(resp.body))
		resp.rest, resp.close = frames, closeStream
		return out, false
	default:
		return protocolError("frame %T", frame.Kind), false
	}
}

func protocolError(format string, args ...any) outcome {
	out := unknownOutcome(wasabistand.ReasonTruncated, wasabilink.Error.New(format, args...).Error())
	out.faulty = true
	return out
}

func (g *Gateway) refusalOutcome(m *wasabistandv1.CallRefusal) outcome {
	out := outcome{load: wasabiwire.ToLoad(m.GetLoad()), arrived: m.GetArrived(), faulty: m.GetFaulty()}
	out.refusal = wasabistand.NewUnknown(toReason(m.GetReason()), m.GetDetail())
	if m.GetOutcome() == wasabistandv1.CallRefusal_OUTCOME_NOT_RUN {
		out.refusal.Outcome = wasabistand.NotRun
		out.refusal.RetryAfter = time.Duration(min(m.GetRetryAfterMs(), 3_600_000)) * time.Millisecond
	} else {
		out.arrived = true
	}
	return out
}

func toReason(s string) wasabistand.Reason {
	if len(s) > 64 {
		s = s[:64]
	}
	return wasabistand.Reason(s)
}

// frameReader receives the frames of a response, and reads the remainder of its body.
type frameReader struct {
	stream *wasabilink.Stream
	// onContinue is called when the other node asks for the rest of the request's body,
	// nil if there is none.
	onContinue func()
	total      uint64 // bytes of the body so far
	pending    []byte
	ended      bool
}

// receive receives the next frame that belongs to the response.
func (f *frameReader) receive(frame *wasabistandv1.CallFrame) error {
	for {
		if err := f.stream.Receive(frame); err != nil || frame.GetContinue() == nil {
			return err
		}
		f.handleContinue()
	}
}

func (f *frameReader) handleContinue() {
	if f.onContinue != nil {
		f.onContinue()
		f.onContinue = nil
	}
}

// Read implements io.Reader.
func (f *frameReader) Read(p []byte) (int, error) {
	for len(f.pending) == 0 {
		if f.ended {
			return 0, io.EOF
		}
		var frame wasabistandv1.CallFrame
		if err := f.receive(&frame); err != nil {
			return 0, errors.Join(io.ErrUnexpectedEOF, err)
		}
		switch k := frame.Kind.(type) {
		case *wasabistandv1.CallFrame_Body:
			f.pending = k.Body
			f.total += uint64(len(k.Body))
		case *wasabistandv1.CallFrame_End:
			if k.End.GetBodyBytes() != f.total {
				return 0, io.ErrUnexpectedEOF
			}
			f.ended = true
		default:
			return 0, io.ErrUnexpectedEOF
		}
	}
	n := copy(p, f.pending)
	f.pending = f.pending[n:]
	return n, nil
}
