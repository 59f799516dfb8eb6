package wasabinode

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/wasabilink"
	"github.com/wasabistand/wasabistand/wasabiwire"
)

// past is a deadline that ends blocked reads and writes.
var past = time.Unix(1, 0)

// answerGrace lets the other node's word that a call did not run in time
// arrive after the deadline, across two regions.
const answerGrace = 50 * time.Millisecond

// remote returns the carrier to another node.
func (n *Node) remote(address string) carrier {
	return func(ctx context.Context, a *attempt, s sink) ending { return n.send(ctx, address, a, s) }
}

func (n *Node) send(ctx context.Context, address string, a *attempt, s sink) ending {
	ctx, cancel := context.WithDeadline(ctx, a.deadline.Add(answerGrace))
	defer cancel()
	link, err := n.pool.Get(ctx, address)
	if err != nil {
		return untouched(notSent(ctx, err), a)
	}
	stream, err := link.Open(wasabistandv1.StreamOpen_KIND_CALL)
	if err != nil {
		return untouched(notSent(ctx, err), a)
	}
	defer stream.Close()
	defer func() { _ = stream.SetDeadline(past) }()
	if ctx.Err() != nil {
		return untouched(notSent(ctx, ctx.Err()), a)
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(past) })
	defer stop()
	if err := stream.Send(&wasabistandv1.CallFrame{Kind: &wasabistandv1.CallFrame_Start{Start: n.start(a)}}); err != nil {
		if !stream.Wrote() {
			return untouched(notSent(ctx, err), a)
		}
		return linkLost(ctx, err, nil)
	}
	var uploaded *errorReader
	if a.body == nil {
		// The receiver's answer tells what became of a failed write.
		_ = stream.Send(endFrame(0))
	} else {
		uploaded = &errorReader{Reader: a.body}
		n.background.Go(func() {
			if pump(stream, uploaded); uploaded.failure() != nil {
				// The call can't be completed: end it as its caller would.
				_ = stream.SetDeadline(past)
			}
		})
	}
	return n.receive(ctx, stream, s, uploaded)
}

// untouched gives back the whole allowance of an attempt that was never sent.
func untouched(e ending, a *attempt) ending {
	e.unused = a.allowance
	return e
}

func endFrame(bytes uint64) *wasabistandv1.CallFrame {
	return &wasabistandv1.CallFrame{Kind: &wasabistandv1.CallFrame_End{End: &wasabistandv1.CallEnd{BodyBytes: bytes}}}
}

func (n *Node) start(a *attempt) *wasabistandv1.CallStart {
	return &wasabistandv1.CallStart{
		RequestId:      a.requestID,
		Service:        a.kind.Service,
		Call:           a.kind.Call,
		Caller:         a.caller,
		Method:         a.method,
		Path:           a.path,
		Headers:        wasabiwire.FromHeaders(a.headers),
		TimeoutUs:      uint64(max(a.deadline.Sub(n.now()).Microseconds(), 0)),
		Importance:     wasabiwire.FromImportance(a.importance),
		Idempotent:     a.idempotent,
		IdempotencyKey: a.key,
		RetryAllowance: uint32(a.allowance),
		Attempt:        uint32(a.number),
		ContentLength:  a.length,
		Revision:       a.revision,
		Time:           n.stamp(),
	}
}

// pump sends a body in frames until its end.
func pump(stream *wasabilink.Stream, body io.Reader) {
	p := chunks.Get().(*[]byte)
	defer chunks.Put(p)
	frame := &wasabistandv1.CallFrame_Body{}
	message := &wasabistandv1.CallFrame{Kind: frame}
	var total uint64
	for {
		count, err := body.Read(*p)
		if count > 0 {
			total += uint64(count)
			frame.Body = (*p)[:count]
			if stream.Send(message) != nil {
				return
			}
		}
		if err == io.EOF {
			_ = stream.Send(endFrame(total))
			return
		}
		if err != nil {
			return
		}
	}
}

// receive passes the answer's frames on until its end.
func (n *Node) receive(ctx context.Context, stream *wasabilink.Stream, s sink, uploaded *errorReader) ending {
	var e ending
	var answered bool
	var frame wasabistandv1.CallFrame
	for {
		if err := stream.Receive(&frame); err != nil {
			lost := linkLost(ctx, err, uploaded.failure())
			lost.bytes = e.bytes
			return lost
		}
		switch k := frame.Kind.(type) {
		case *wasabistandv1.CallFrame_Answer:
			n.observe(k.Answer.Time)
			status := int(k.Answer.Status)
			if answered || status < 200 || status > 999 {
				return broken(&e, "answer frame with status %d", status)
			}
			answered = true
			if err := s.answer(status, wasabiwire.ToHeaders(k.Answer.Headers), k.Answer.ContentLength); err != nil {
				return abandoned(&e, err)
			}
		case *wasabistandv1.CallFrame_Body:
			if !answered {
				return broken(&e, "body before the answer")
			}
			e.bytes += int64(len(k.Body))
			if err := s.body(k.Body); err != nil {
				return abandoned(&e, err)
			}
		case *wasabistandv1.CallFrame_End:
			if !answered || k.End.BodyBytes != uint64(e.bytes) {
				return broken(&e, "end after %d bytes, sent were %d", e.bytes, k.End.BodyBytes)
			}
			e.unused, e.load, e.trailers = int(k.End.UnusedAllowance), wasabiwire.ToLoad(k.End.Load), wasabiwire.ToHeaders(k.End.Trailers)
			return e
		case *wasabistandv1.CallFrame_Refusal:
			f := k.Refusal
			e.unused, e.load = int(f.UnusedAllowance), wasabiwire.ToLoad(f.Load)
			e.refusal = wasabistand.NewUnknown(knownReason(wasabistand.Reason(f.Reason)), "")
			if f.Outcome == wasabistandv1.CallRefusal_OUTCOME_NOT_RUN && !answered {
				e.refusal.Outcome = wasabistand.NotRun
				e.refusal.RetryAfter = time.Duration(f.RetryAfterMs) * time.Millisecond
			}
			e.faulty = faulty(e.refusal)
			return e
		default:
			return broken(&e, "frame %T", frame.Kind)
		}
	}
}

// faulty reports whether a refusal from another node means that its instance
// is at fault.
func faulty(r *wasabistand.Refusal) bool {
	switch r.Reason {
	case wasabistand.ReasonConnect, wasabistand.ReasonTruncated, wasabistand.ReasonTimeout, wasabistand.ReasonNotReady:
		return true
	}
	return false
}

func linkLost(ctx context.Context, err, body error) ending {
	e := ending{lost: true}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		e.refusal, e.faulty = wasabistand.NewUnknown(wasabistand.ReasonTimeout, "the patience ended before the answer"), true
	case ctx.Err() != nil:
		e.refusal = wasabistand.NewUnknown(wasabistand.ReasonCancelled, "the caller went away")
	case body != nil:
		e.refusal = bodyRefusal(body, wasabistand.Unknown)
	default:
		e.refusal, e.faulty = wasabistand.NewUnknown(wasabistand.ReasonLinkLost, err.Error()), true
	}
	return e
}

func broken(e *ending, format string, args ...any) ending {
	e.lost, e.faulty = true, true
	e.refusal = wasabistand.NewUnknown(wasabistand.ReasonTruncated, wasabilink.Error.New(format, args...).Error())
	return *e
}

func abandoned(e *ending, err error) ending {
	e.lost = true
	e.refusal = wasabistand.NewUnknown(wasabistand.ReasonCancelled, err.Error())
	return *e
}
