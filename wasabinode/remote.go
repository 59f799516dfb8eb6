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

// expiredDeadline is a deadline in the past. Setting it ends blocked reads and
// writes.
var expiredDeadline = time.Unix(1, 0)

// responseGrace is how long after the deadline a response is still accepted. It
// lets the other node's report that the call did not run in time arrive across
// two regions.
const responseGrace = 50 * time.Millisecond

// sendTo returns the sendFunc for the node with the link address.
func (n *Node) sendTo(address string) sendFunc {
	return func(ctx context.Context, a *attempt, s responseSink) attemptResult {
		return n.sendRemote(ctx, address, a, s)
	}
}

func (n *Node) sendRemote(ctx context.Context, address string, a *attempt, s responseSink) attemptResult {
	ctx, cancel := context.WithDeadline(ctx, a.deadline.Add(responseGrace))
	defer cancel()
	link, err := n.pool.Get(ctx, address)
	if err != nil {
		return unsentResult(notSentResult(ctx, err), a)
	}
	stream, err := link.Open(wasabistandv1.StreamOpen_KIND_CALL)
	if err != nil {
		return unsentResult(notSentResult(ctx, err), a)
	}
	defer stream.Close()
	defer func() { _ = stream.SetDeadline(expiredDeadline) }()
	if ctx.Err() != nil {
		return unsentResult(notSentResult(ctx, ctx.Err()), a)
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(expiredDeadline) })
	defer stop()
	if err := stream.Send(&wasabistandv1.CallFrame{Kind: &wasabistandv1.CallFrame_Start{Start: n.callStart(a)}}); err != nil {
		if !stream.Wrote() {
			return unsentResult(notSentResult(ctx, err), a)
		}
		return linkLostResult(ctx, err, nil)
	}
	var upload *errorReader
	if a.body == nil {
		// If the write fails, the receiver's response still reports the outcome.
		_ = stream.Send(endFrame(0))
	} else {
		upload = &errorReader{Reader: a.body}
		n.background.Go(func() {
			if sendBody(stream, upload); upload.readErr() != nil {
				// The call can't be completed, so end it as if its caller had
				// disconnected.
				_ = stream.SetDeadline(expiredDeadline)
			}
		})
	}
	return n.receiveResponse(ctx, stream, s, upload)
}

// unsentResult returns the result of an attempt that was never sent: its whole
// retry budget is unused.
func unsentResult(result attemptResult, a *attempt) attemptResult {
	result.unusedRetries = a.retryBudget
	return result
}

func endFrame(bytes uint64) *wasabistandv1.CallFrame {
	return &wasabistandv1.CallFrame{Kind: &wasabistandv1.CallFrame_End{End: &wasabistandv1.CallEnd{BodyBytes: bytes}}}
}

func (n *Node) callStart(a *attempt) *wasabistandv1.CallStart {
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
		IdempotencyKey: a.idempotencyKey,
		RetryAllowance: uint32(a.retryBudget),
		Attempt:        uint32(a.number),
		ContentLength:  a.bodyLength,
		Revision:       a.revision,
		Time:           n.timestamp(),
	}
}

// sendBody sends a body in frames, then the end frame.
func sendBody(stream *wasabilink.Stream, body io.Reader) {
	p := chunkPool.Get().(*[]byte)
	defer chunkPool.Put(p)
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

// receiveResponse passes the response to s until its end frame or a refusal.
func (n *Node) receiveResponse(ctx context.Context, stream *wasabilink.Stream, s responseSink, upload *errorReader) attemptResult {
	var result attemptResult
	var headerReceived bool
	var frame wasabistandv1.CallFrame
	for {
		if err := stream.Receive(&frame); err != nil {
			lost := linkLostResult(ctx, err, upload.readErr())
			lost.bytes = result.bytes
			return lost
		}
		switch k := frame.Kind.(type) {
		case *wasabistandv1.CallFrame_Answer:
			n.observeTime(k.Answer.Time)
			status := int(k.Answer.Status)
			if headerReceived || status < 200 || status > 599 {
				return protocolErrorResult(&result, "answer frame with status %d", status)
			}
			headerReceived = true
			if err := s.writeHeader(status, wasabiwire.ToHeaders(k.Answer.Headers), k.Answer.ContentLength); err != nil {
				return sinkErrorResult(&result, err)
			}
		case *wasabistandv1.CallFrame_Body:
			if !headerReceived {
				return protocolErrorResult(&result, "body before the answer")
			}
			result.bytes += int64(len(k.Body))
			if err := s.writeBody(k.Body); err != nil {
				return sinkErrorResult(&result, err)
			}
		case *wasabistandv1.CallFrame_End:
			if !headerReceived || k.End.BodyBytes != uint64(result.bytes) {
				return protocolErrorResult(&result, "end after %d bytes, sent were %d", result.bytes, k.End.BodyBytes)
			}
			result.unusedRetries, result.load, result.trailers = int(k.End.UnusedAllowance), wasabiwire.ToLoad(k.End.Load), wasabiwire.ToHeaders(k.End.Trailers)
			return result
		case *wasabistandv1.CallFrame_Refusal:
			f := k.Refusal
			result.unusedRetries, result.load = int(f.UnusedAllowance), wasabiwire.ToLoad(f.Load)
			result.refusal = wasabistand.NewUnknown(normalizeReason(wasabistand.Reason(f.Reason)), "")
			if f.Outcome == wasabistandv1.CallRefusal_OUTCOME_NOT_RUN && !headerReceived {
				result.refusal.Outcome = wasabistand.NotRun
				result.refusal.RetryAfter = time.Duration(f.RetryAfterMs) * time.Millisecond
			}
			result.instanceFailed = isInstanceFault(result.refusal)
			return result
		default:
			return protocolErrorResult(&result, "frame %T", frame.Kind)
		}
	}
}

// isInstanceFault reports whether a refusal from another node counts as a
// failure of its instance.
func isInstanceFault(r *wasabistand.Refusal) bool {
	switch r.Reason {
	case wasabistand.ReasonConnect, wasabistand.ReasonTruncated, wasabistand.ReasonTimeout, wasabistand.ReasonNotReady:
		return true
	}
	return false
}

func linkLostResult(ctx context.Context, err, bodyErr error) attemptResult {
	result := attemptResult{retriesUnknown: true}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		result.refusal, result.instanceFailed = wasabistand.NewUnknown(wasabistand.ReasonTimeout, "the patience ended before the answer"), true
	case ctx.Err() != nil:
		result.refusal = wasabistand.NewUnknown(wasabistand.ReasonCancelled, "the caller went away")
	case bodyErr != nil:
		result.refusal = bodyRefusal(bodyErr, wasabistand.Unknown)
	default:
		result.refusal, result.instanceFailed = wasabistand.NewUnknown(wasabistand.ReasonLinkLost, err.Error()), true
	}
	return result
}

func protocolErrorResult(result *attemptResult, format string, args ...any) attemptResult {
	result.retriesUnknown, result.instanceFailed = true, true
	result.refusal = wasabistand.NewUnknown(wasabistand.ReasonTruncated, wasabilink.Error.New(format, args...).Error())
	return *result
}

func sinkErrorResult(result *attemptResult, err error) attemptResult {
	result.retriesUnknown = true
	result.refusal = wasabistand.NewUnknown(wasabistand.ReasonCancelled, err.Error())
	return *result
}
