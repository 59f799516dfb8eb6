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

const chunkBytes = 32 << 10

// past is a deadline that ends blocked reads and writes.
var past = time.Unix(1, 0)

var chunks = sync.Pool{New: func() any { b := make([]byte, chunkBytes); return &b }}

// send passes an attempt to the node beside an instance and returns how it
// ended there.
func (g *Gateway) send(ctx context.Context, address string, a *attempt) outcome {
	ctx, cancel := context.WithDeadline(ctx, a.deadline.Add(g.settings.answerGrace))
	link, err := g.pool.Get(ctx, address)
	if err != nil {
		cancel()
		return untouched(ctx, err)
	}
	stream, sent, err := link.OpenWith(ctx, wasabistandv1.StreamOpen_KIND_ROUTED, &wasabistandv1.CallFrame{Kind: &wasabistandv1.CallFrame_Start{Start: g.start(a)}})
	if err != nil {
		defer cancel()
		if !sent {
			return untouched(ctx, err)
		}
		return lost(ctx, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(past) })
	end := func() {
		stop()
		cancel()
		_ = stream.Close()
	}
	if a.rest != nil {
		g.background(func() { pump(stream, a.rest) })
	}
	out, whole := g.receive(ctx, stream, end)
	if whole && a.rest == nil {
		// The other node has nothing left to do for the request.
		stream.Finish()
	}
	if out.answer == nil || out.answer.rest == nil {
		end()
	}
	return out
}

// untouched ends an attempt of which nothing was sent.
func untouched(ctx context.Context, err error) outcome {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return notRun(wasabistand.ReasonDeadline, "the patience ended before the instance was reached")
	}
	if ctx.Err() != nil {
		return notRun(wasabistand.ReasonCancelled, "the caller went away before the instance was reached")
	}
	out := notRun(wasabistand.ReasonConnect, err.Error())
	out.faulty, out.down = true, true
	return out
}

// lost ends an attempt whose answer did not come.
func lost(ctx context.Context, err error) outcome {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		out := unknown(wasabistand.ReasonTimeout, "the patience ended before the answer")
		out.faulty = true
		return out
	case ctx.Err() != nil:
		return unknown(wasabistand.ReasonCancelled, "the caller went away")
	}
	out := unknown(wasabistand.ReasonLinkLost, err.Error())
	out.faulty, out.down = true, true
	return out
}

func (g *Gateway) start(a *attempt) *wasabistandv1.CallStart {
	now := g.now()
	return &wasabistandv1.CallStart{
		RequestId: a.requestID, Service: a.service, Call: a.route, Caller: a.origin, Method: a.method, Path: a.target,
		Headers:   wasabiwire.FromHeaders(append(a.headers[:len(a.headers):len(a.headers)], wasabistand.HeaderField{Name: "Host", Value: a.host})),
		TimeoutUs: uint64(max(a.deadline.Sub(now).Microseconds(), 0)), Importance: wasabiwire.FromImportance(a.importance),
		Idempotent: a.repeatable, Attempt: uint32(a.number), ContentLength: a.length, Revision: a.revision,
		Body: a.body, Whole: a.rest == nil, ObjectiveUs: a.objective.Sub(now).Microseconds(),
	}
}

// pump sends the rest of a body in frames until its end.
func pump(stream *wasabilink.Stream, body io.Reader) {
	p := chunks.Get().(*[]byte)
	defer chunks.Put(p)
	frame := &wasabistandv1.CallFrame_Body{}
	message := &wasabistandv1.CallFrame{Kind: frame}
	var total uint64
	for {
		n, err := body.Read(*p)
		if n > 0 {
			total += uint64(n)
			frame.Body = (*p)[:n]
			if stream.Send(message) != nil {
				return
			}
		}
		if err == io.EOF {
			_ = stream.Send(endFrame(total, nil))
			return
		}
		if err != nil {
			// Without an end frame the other node sees that the body was cut.
			_ = stream.SetDeadline(past)
			return
		}
	}
}

func endFrame(bytes uint64, l *wasabistand.Load) *wasabistandv1.CallFrame {
	e := &wasabistandv1.CallEnd{BodyBytes: bytes}
	if l != nil {
		e.Load = wasabiwire.FromLoad(*l)
	}
	return &wasabistandv1.CallFrame{Kind: &wasabistandv1.CallFrame_End{End: e}}
}

// receive reads an answer's head, and its body as far as it is held. It
// reports whether that is all that the other node sends.
func (g *Gateway) receive(ctx context.Context, stream *wasabilink.Stream, end func()) (out outcome, whole bool) {
	var frame wasabistandv1.CallFrame
	if err := stream.Receive(&frame); err != nil {
		return lost(ctx, err), false
	}
	switch k := frame.Kind.(type) {
	case *wasabistandv1.CallFrame_Refusal:
		return g.refused(k.Refusal), true
	case *wasabistandv1.CallFrame_Answer:
		m := k.Answer
		status := int(m.GetStatus())
		if status < 200 || status > 999 {
			return broken("answer with status %d", status), false
		}
		ans := &answer{status: status, headers: http.Header{}, length: m.GetContentLength(), body: m.GetBody()}
		for _, h := range wasabiwire.ToHeaders(m.GetHeaders()) {
			ans.headers[h.Name] = append(ans.headers[h.Name], h.Value)
		}
		out = outcome{answer: ans, arrived: true, load: wasabiwire.ToLoad(m.GetLoad()), took: time.Duration(m.GetServiceUs()) * time.Microsecond}
		if m.GetWhole() {
			ans.length = int64(len(ans.body))
			return out, true
		}
		ans.rest, ans.close = &frameReader{stream: stream, total: uint64(len(ans.body))}, end
		return out, false
	default:
		return broken("frame %T", frame.Kind), false
	}
}

func broken(format string, args ...any) outcome {
	out := unknown(wasabistand.ReasonTruncated, wasabilink.Error.New(format, args...).Error())
	out.faulty = true
	return out
}

func (g *Gateway) refused(m *wasabistandv1.CallRefusal) outcome {
	out := outcome{load: wasabiwire.ToLoad(m.GetLoad()), arrived: m.GetArrived(), faulty: m.GetFaulty()}
	out.refusal = wasabistand.NewUnknown(reasonOf(m.GetReason()), m.GetDetail())
	if m.GetOutcome() == wasabistandv1.CallRefusal_OUTCOME_NOT_RUN {
		out.refusal.Outcome = wasabistand.NotRun
		out.refusal.RetryAfter = time.Duration(min(m.GetRetryAfterMs(), 3_600_000)) * time.Millisecond
	} else {
		out.arrived = true
	}
	return out
}

func reasonOf(s string) wasabistand.Reason {
	if len(s) > 64 {
		s = s[:64]
	}
	return wasabistand.Reason(s)
}

// frameReader reads the rest of a body that comes in frames.
type frameReader struct {
	stream  *wasabilink.Stream
	total   uint64
	pending []byte
	ended   bool
}

// Read implements io.Reader.
func (f *frameReader) Read(p []byte) (int, error) {
	for len(f.pending) == 0 {
		if f.ended {
			return 0, io.EOF
		}
		var frame wasabistandv1.CallFrame
		if err := f.stream.Receive(&frame); err != nil {
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
