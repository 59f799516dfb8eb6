// Package wasabioperator implements the client for operators' commands. It
// decides which control instance receives a command and when a command is retried
// with the same identity. It does not interpret commands.
package wasabioperator

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/gen/wasabistand/v1/wasabistandv1connect"
)

// Options holds the settings of a client. It is an immutable value.
type Options struct {
	addresses     []string
	token         string
	timeout       time.Duration
	retryInterval time.Duration
	maxRounds     int
	http          *http.Client
	now           func() time.Time
}

// NewOptions returns the default settings for the given control instances, which
// are listed as base URLs or IP:port.
func NewOptions(addresses ...string) Options {
	return Options{
		addresses: addresses,
		timeout:   5 * time.Second,
		// An election takes about a second: the three rounds include one before
		// and one after it.
		retryInterval: time.Second,
		maxRounds:     3,
		http:          http.DefaultClient,
		now:           time.Now,
	}
}

// WithToken returns a copy that authenticates with a bearer token.
func (o Options) WithToken(t string) Options {
	o.token = t
	return o
}

// WithTimeout returns a copy that waits at most d for each response.
func (o Options) WithTimeout(d time.Duration) Options {
	o.timeout = d
	return o
}

// WithRounds returns a copy that tries all addresses up to n times.
func (o Options) WithRounds(n int) Options {
	o.maxRounds = max(n, 1)
	return o
}

// WithHTTPClient returns a copy that sends requests with c.
func (o Options) WithHTTPClient(c *http.Client) Options {
	o.http = c
	return o
}

// Client sends operators' commands. It is safe for concurrent use.
type Client struct {
	options Options
	clients []wasabistandv1connect.OperatorServiceClient
}

// New returns a client. The options must list at least one control instance.
func New(o Options) (*Client, error) {
	if len(o.addresses) == 0 {
		return nil, wasabistand.ErrInvalid.New("no address of a control instance")
	}
	c := &Client{options: o}
	for _, a := range o.addresses {
		c.clients = append(c.clients, wasabistandv1connect.NewOperatorServiceClient(o.http, BaseURL(a), connect.WithInterceptors(bearerToken(o.token))))
	}
	return c, nil
}

// BaseURL returns the base URL of an address, which may already be a URL.
func BaseURL(address string) string {
	if len(address) > 7 && (address[:7] == "http://" || (len(address) > 8 && address[:8] == "https://")) {
		return address
	}
	return "http://" + address
}

// String returns the name of the implementation.
func (c *Client) String() string { return "connect" }

// NewIdentity returns a new command identity.
func (c *Client) NewIdentity() *wasabistandv1.CommandIdentity {
	return &wasabistandv1.CommandIdentity{Id: rand.Text(), IssuedUnixMs: c.options.now().UnixMilli()}
}

// Call sends one request to the control instances in turn until one responds.
// Requests that change state contain a command identity, so that a retry after a
// lost response takes effect only once.
func Call[Q, A any](ctx context.Context, c *Client, q *Q, method func(wasabistandv1connect.OperatorServiceClient) func(context.Context, *connect.Request[Q]) (*connect.Response[A], error)) (*A, error) {
	var lastErr error
	_, isChange := any(q).(interface {
		GetCommand() *wasabistandv1.CommandIdentity
	})
	outcomeUnknown := false
	for round := range c.options.maxRounds {
		if round > 0 {
			select {
			case <-time.After(c.options.retryInterval):
			case <-ctx.Done():
				return nil, finalError(lastErr, outcomeUnknown)
			}
		}
		for _, k := range c.clients {
			response, err := callOnce(ctx, c.options.timeout, q, method(k))
			if err == nil || !isRetryable(err) {
				return response, err
			}
			lastErr = err
			outcomeUnknown = outcomeUnknown || isChange && mayHaveCommitted(err)
			if ctx.Err() != nil {
				return nil, finalError(lastErr, outcomeUnknown)
			}
		}
	}
	if !isChange {
		return nil, connect.NewError(connect.CodeUnavailable, fmt.Errorf("no control instance answered: %w", lastErr))
	}
	return nil, finalError(lastErr, outcomeUnknown)
}

// finalError returns the error of a failed call. It reports an unknown outcome if
// any attempt may have been committed, even if the last one certainly was not.
func finalError(lastErr error, outcomeUnknown bool) error {
	if !outcomeUnknown {
		return lastErr
	}
	return connect.NewError(connect.CodeUnavailable, fmt.Errorf("outcome unknown: %w", lastErr))
}

// mayHaveCommitted reports whether a command may have been committed although the
// attempt returned an error.
func mayHaveCommitted(err error) bool {
	if connect.IsWireError(err) {
		var failure *connect.Error
		return errors.As(err, &failure) && (failure.Code() != connect.CodeUnavailable || strings.Contains(failure.Message(), "outcome unknown"))
	}
	var dial *net.OpError
	return !errors.As(err, &dial) || dial.Op != "dial"
}

// callOnce sends one request to one control instance.
func callOnce[Q, A any](ctx context.Context, timeout time.Duration, q *Q, call func(context.Context, *connect.Request[Q]) (*connect.Response[A], error)) (*A, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := call(ctx, connect.NewRequest(q))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// isRetryable reports whether another control instance may succeed.
func isRetryable(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded, connect.CodeUnknown, connect.CodeCanceled:
		return true
	default:
		return false
	}
}

// ConflictOf returns the conflict detail of a command that lost a race against
// another one, nil for other errors.
func ConflictOf(err error) *wasabistandv1.Conflict {
	var failure *connect.Error
	if !errors.As(err, &failure) {
		return nil
	}
	for _, d := range failure.Details() {
		if v, err := d.Value(); err == nil {
			if k, ok := v.(*wasabistandv1.Conflict); ok {
				return k
			}
		}
	}
	return nil
}

// bearerToken returns an interceptor that authenticates requests.
func bearerToken(token string) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, q connect.AnyRequest) (connect.AnyResponse, error) {
			if token != "" {
				q.Header().Set("Authorization", "Bearer "+token)
			}
			return next(ctx, q)
		}
	}
}
