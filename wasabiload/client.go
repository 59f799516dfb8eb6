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

// Client is an impatient HTTP client: it gives up each send after a while and
// sends again until the patience of the whole request ends.
type Client struct {
	// HTTP sends; its transport sets the client's distance.
	HTTP *http.Client
	// Entry returns the base URL for one send of a call of a service.
	Entry func(service string) string
	// Patience bounds a whole request, SendPatience one send.
	Patience, SendPatience time.Duration
	// Resends is how often a failed send is repeated.
	Resends int
	// Backoff is the pause before a resend. A client that retries hard
	// ignores what the answer says of it, but for a call that still runs.
	Backoff time.Duration
	// AnswerBytes is the length of the filler in a whole answer.
	AnswerBytes int
}

// maxAnswerBytes bounds what is read of one answer.
const maxAnswerBytes = 8 << 20

// Send implements Sender.
func (c *Client) Send(ctx context.Context, due time.Time, number int, class Class) Result {
	var r Result
	ctx, cancel := context.WithDeadline(ctx, due.Add(c.Patience))
	defer cancel()
	for resends := 0; ctx.Err() == nil; {
		r.Sends++
		request := fmt.Sprintf("%d.%d", number, r.Sends)
		pause, running := c.once(ctx, number, request, class, &r)
		if r.Good {
			return r
		}
		if !running {
			if resends++; resends > c.Resends {
				return r
			}
		}
		if !until(ctx, time.Now().Add(pause)) {
			break
		}
	}
	return r
}

// once sends once and returns the pause before the next send and whether an
// earlier send still runs.
func (c *Client) once(ctx context.Context, number int, request string, class Class, r *Result) (pause time.Duration, running bool) {
	deadline, _ := ctx.Deadline()
	ctx, cancel := context.WithTimeout(ctx, c.SendPatience)
	defer cancel()
	if !class.Keyed {
		// A keyed call goes on while its client resends, so only that one is
		// given the patience of the whole request.
		deadline, _ = ctx.Deadline()
	}
	patience := time.Until(deadline).Milliseconds()
	if patience < 1 {
		return c.Backoff, false
	}
	out, err := http.NewRequestWithContext(ctx, class.Method, c.Entry(class.Service)+class.Path, nil)
	if err != nil {
		return c.Backoff, false
	}
	out.Header.Set("Wasabi-Service", class.Service)
	out.Header.Set("Wasabi-Caller", class.Caller)
	out.Header.Set("Wasabi-Request", request)
	out.Header.Set("Wasabi-Timeout", strconv.FormatInt(patience, 10))
	if class.Keyed {
		out.Header.Set("Idempotency-Key", "key-"+strconv.Itoa(number))
	}
	resp, err := c.HTTP.Do(out)
	if err != nil {
		return c.Backoff, false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
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
	c.check(class, number, string(body), r)
	return c.Backoff, false
}

// check takes a whole answer to any send of this request: the answer to an
// earlier send with the same key is right too.
func (c *Client) check(class Class, number int, body string, r *Result) {
	head, filler, whole := strings.Cut(body, "\n")
	rest, ours := strings.CutPrefix(head, wasabiupstream.Answer(class.Service, "")[:len(class.Service)+len(" answers ")])
	request, _, _ := strings.Cut(rest, " ")
	if !ours || !strings.HasPrefix(request, strconv.Itoa(number)+".") {
		r.Mixed++
		return
	}
	if !whole || len(filler) != c.AnswerBytes {
		r.Partial++
		return
	}
	r.Good, r.Request = true, request
}
