package wasabigateway

import (
	"io"
	"net/http"
	"strconv"

	"github.com/wasabistand/wasabistand"
)

// holdResponse reads a response whole that has requests behind it on its connection, so
// that one that breaks off becomes a refusal and ends neither the connection nor their
// responses. A response that is larger than allowed stays incomplete.
func (g *Gateway) holdResponse(q *request, out outcome) outcome {
	resp := *out.response
	held := int64(len(resp.body))
	if g.heldBodyBytes.Add(held) > g.settings.maxBufferedBytes {
		g.heldBodyBytes.Add(-held)
		return out
	}
	closeRest := resp.close
	resp.close = func() {
		g.heldBodyBytes.Add(-held)
		closeRest()
	}
	out.response = &resp
	for {
		if len(resp.body) == cap(resp.body) {
			size := min(int64(2*cap(resp.body)), g.settings.maxHeldResponse)
			if added := size - held; added <= 0 || g.heldBodyBytes.Add(added) > g.settings.maxBufferedBytes {
				g.heldBodyBytes.Add(-max(added, 0))
				return out
			}
			held = size
			resp.body = append(make([]byte, 0, size), resp.body...)
		}
		n, err := resp.rest.Read(resp.body[len(resp.body):cap(resp.body)])
		resp.body = resp.body[:len(resp.body)+n]
		if err == io.EOF {
			resp.rest, resp.length = nil, int64(len(resp.body))
			return out
		}
		if err != nil {
			resp.release()
			g.logAttempt("cut", &q.attempt, unknownOutcome(wasabistand.ReasonTruncated, err.Error()))
			if !g.now().Before(q.deadline) {
				return unknownOutcome(wasabistand.ReasonTimeout, "the patience ended before the whole answer")
			}
			return unknownOutcome(wasabistand.ReasonTruncated, err.Error())
		}
	}
}

// writeResponse writes an upstream's response to the caller.
func (g *Gateway) writeResponse(q *request, out outcome) {
	resp := out.response
	g.metrics.recordRequest(q, out, g.now().Sub(q.x.Received))
	g.logAttempt("answered", &q.attempt, out)
	if resp.rest == nil {
		_ = q.x.Respond(resp.status, resp.headers, resp.body)
		return
	}
	if q.x.Begin(resp.status, resp.headers, resp.length) != nil {
		return
	}
	if _, err := q.x.Write(resp.body); err != nil {
		return
	}
	// The rest may take long, and only its chunks are held meanwhile.
	resp.body = nil
	p := chunkPool.Get().(*[]byte)
	defer chunkPool.Put(p)
	for {
		n, err := resp.rest.Read(*p)
		if n > 0 {
			if _, werr := q.x.Write((*p)[:n]); werr != nil {
				return
			}
		}
		if err == io.EOF {
			_ = q.x.End()
			return
		}
		if err != nil {
			g.logAttempt("cut", &q.attempt, unknownOutcome(wasabistand.ReasonTruncated, err.Error()))
			q.x.Abort()
			return
		}
	}
}

// writeRefusal writes a response that the node generates itself.
func (g *Gateway) writeRefusal(q *request, status int, r *wasabistand.Refusal) {
	h := g.refusalHeader(q.id)
	if status == http.StatusServiceUnavailable {
		retryAfter := r.RetryAfter
		if retryAfter <= 0 {
			retryAfter = defaultRetryAfter
		}
		h["Retry-After"] = []string{strconv.FormatFloat(min(retryAfter, maxRetryAfter).Seconds(), 'f', 3, 64)}
	}
	g.metrics.recordRequest(q, outcome{refusal: r}, g.now().Sub(q.x.Received))
	g.logRefusal(q, status, r)
	_ = q.x.Respond(status, h, []byte(r.Error()+"\n"))
}
