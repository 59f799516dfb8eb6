package wasabiload

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/wasabiupstream"
)

// Client is an HTTP client with short timeouts: it abandons each attempt after a
// timeout and retries until the deadline of the whole request.
type Client struct {
	// HTTP sends the requests. Its transport sets the client's latency.
	HTTP *http.Client
	// Entry returns the base URL for one attempt to call a service.
	Entry func(service string) string
	// Timeout is the timeout of a whole request, AttemptTimeout that of one
	// attempt.
	Timeout, AttemptTimeout time.Duration
	// MaxRetries is the maximum number of retries after failed attempts.
	MaxRetries int
	// Backoff is the pause before a retry. It replaces the backoff that a
	// response asks for, unless an earlier attempt is still running.
	Backoff time.Duration
	// ResponseBytes is the length of the filler in a complete response.
	ResponseBytes int
}

// maxResponseBytes bounds how much of one response is read.
const maxResponseBytes = 8 << 20

// Send implements Sender.
func (c *Client) Send(ctx context.Context, due time.Time, number int, class Class) Result {
	var r Result
	ctx, cancel := context.WithDeadline(ctx, due.Add(c.Timeout))
	defer cancel()
	for retries := 0; ctx.Err() == nil; {
		r.Attempts++
		request := fmt.Sprintf("%d.%d", number, r.Attempts)
		pause, running := c.attempt(ctx, number, request, class, &r)
		if r.Good {
			return r
		}
		if !running {
			if retries++; retries > c.MaxRetries {
				return r
			}
		}
		if !waitUntil(ctx, time.Now().Add(pause)) {
			break
		}
	}
	return r
}

// attempt sends the request once. It returns the pause before the next attempt
// and whether an earlier attempt is still running.
func (c *Client) attempt(ctx context.Context, number int, request string, class Class, r *Result) (pause time.Duration, running bool) {
	deadline, _ := ctx.Deadline()
	ctx, cancel := context.WithTimeout(ctx, c.AttemptTimeout)
	defer cancel()
	if !class.Keyed {
		// A keyed call continues to run while its client retries, so only keyed
		// calls get the remaining time of the whole request.
		deadline, _ = ctx.Deadline()
	}
	timeout := time.Until(deadline).Milliseconds()
	if timeout < 1 {
		return c.Backoff, false
	}
	out, err := http.NewRequestWithContext(ctx, class.Method, c.Entry(class.Service)+class.Path, nil)
	if err != nil {
		return c.Backoff, false
	}
	out.Header.Set("Wasabi-Service", class.Service)
	out.Header.Set("Wasabi-Caller", class.Caller)
	out.Header.Set("Wasabi-Request", request)
	out.Header.Set("Wasabi-Timeout", strconv.FormatInt(timeout, 10))
	if class.Keyed {
		out.Header.Set("Idempotency-Key", "key-"+strconv.Itoa(number))
	}
	resp, err := c.HTTP.Do(out)
	if err != nil {
		return c.Backoff, false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return c.Backoff, false
	}
	if resp.Header.Get("Wasabi-Outcome") == wasabistand.NotRun.String() {
		r.Refused = append(r.Refused, request)
	}
	if resp.StatusCode == http.StatusConflict {
		if ms, err := strconv.Atoi(resp.Header.Get("Wasabi-Retry-After-Ms")); err == nil && ms > 0 {
			return time.Duration(ms) * time.Millisecond, true
		}
		return c.Backoff, true
	}
	if resp.StatusCode != http.StatusOK {
		return c.Backoff, false
	}
	c.checkResponse(class, number, string(body), r)
	return c.Backoff, false
}

// checkResponse accepts a complete response to any attempt of this request: the
// response to an earlier attempt with the same key is correct, too.
func (c *Client) checkResponse(class Class, number int, body string, r *Result) {
	firstLine, filler, complete := strings.Cut(body, "\n")
	rest, fromService := strings.CutPrefix(firstLine, wasabiupstream.ResponsePrefix(class.Service, "")[:len(class.Service)+len(" answers ")])
	request, _, _ := strings.Cut(rest, " ")
	if !fromService || !strings.HasPrefix(request, strconv.Itoa(number)+".") {
		r.Mismatched++
		return
	}
	if !complete || len(filler) != c.ResponseBytes {
		r.Truncated++
		return
	}
	r.Good, r.Request = true, request
}
