// Package wasabioperator is the client of operators' commands. It decides
// which control instance to ask and when to send a command again under the
// same identity. It does not decide what a command means.
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

// Options are the settings of a client: an immutable value.
type Options struct {
	addresses []string
	token     string
	timeout   time.Duration
	pause     time.Duration
	rounds    int
	http      *http.Client
	now       func() time.Time
}

// NewOptions returns the settings for some control instances, as base URLs or
// IP:port.
func NewOptions(addresses ...string) Options {
	return Options{
		addresses: addresses,
		timeout:   5 * time.Second,
		// An election takes about a second; two rounds lie before and after it.
		pause:  time.Second,
		rounds: 3,
		http:   http.DefaultClient,
		now:    time.Now,
	}
}

// WithToken returns a copy that authenticates by a bearer token.
func (o Options) WithToken(t string) Options {
	o.token = t
	return o
}

// WithTimeout returns a copy that waits at most d for each answer.
func (o Options) WithTimeout(d time.Duration) Options {
	o.timeout = d
	return o
}

// WithRounds returns a copy that asks all addresses up to n times.
func (o Options) WithRounds(n int) Options {
	o.rounds = max(n, 1)
	return o
}

// WithHTTPClient returns a copy that sends by c.
func (o Options) WithHTTPClient(c *http.Client) Options {
	o.http = c
	return o
}

// Client sends operators' commands. It is safe for concurrent use.
type Client struct {
	options Options
	clients []wasabistandv1connect.OperatorServiceClient
}

// New returns a client of at least one control instance.
func New(o Options) (*Client, error) {
	if len(o.addresses) == 0 {
		return nil, wasabistand.ErrInvalid.New("no address of a control instance")
	}
	c := &Client{options: o}
	for _, a := range o.addresses {
		c.clients = append(c.clients, wasabistandv1connect.NewOperatorServiceClient(o.http, BaseURL(a), connect.WithInterceptors(bearer(o.token))))
	}
	return c, nil
}

// BaseURL completes an address to a URL.
func BaseURL(address string) string {
	if len(address) > 7 && (address[:7] == "http://" || (len(address) > 8 && address[:8] == "https://")) {
		return address
	}
	return "http://" + address
}

// String names the implementation.
func (c *Client) String() string { return "connect" }

// NewIdentity returns a new command identity.
func (c *Client) NewIdentity() *wasabistandv1.CommandIdentity {
	return &wasabistandv1.CommandIdentity{Id: rand.Text(), IssuedUnixMs: c.options.now().UnixMilli()}
}

// Call sends one request to the control instances in turn until one answers.
// Requests that change something hold a command identity, so that sending
// them again after a lost answer acts once.
func Call[Q, A any](ctx context.Context, c *Client, q *Q, method func(wasabistandv1connect.OperatorServiceClient) func(context.Context, *connect.Request[Q]) (*connect.Response[A], error)) (*A, error) {
	var last error
	_, changes := any(q).(interface {
		GetCommand() *wasabistandv1.CommandIdentity
	})
	reached := false
	for round := range c.options.rounds {
		if round > 0 {
			select {
			case <-time.After(c.options.pause):
			case <-ctx.Done():
				return nil, outcome(last, reached)
			}
		}
		for _, k := range c.clients {
			answer, err := callOnce(ctx, c.options.timeout, q, method(k))
			if err == nil || !again(err) {
				return answer, err
			}
			last = err
			reached = reached || changes && mayHaveReached(err)
			if ctx.Err() != nil {
				return nil, outcome(last, reached)
			}
		}
	}
	if !changes {
		return nil, connect.NewError(connect.CodeUnavailable, fmt.Errorf("no control instance answered: %w", last))
	}
	return nil, outcome(last, reached)
}

// outcome says that the outcome is unknown when any try may have been
// accepted, even if the last one certainly was not.
func outcome(last error, reached bool) error {
	if !reached {
		return last
	}
	return connect.NewError(connect.CodeUnavailable, fmt.Errorf("outcome unknown: %w", last))
}

// mayHaveReached reports whether a command may have been accepted although
// its answer is an error.
func mayHaveReached(err error) bool {
	if connect.IsWireError(err) {
		var failure *connect.Error
		return errors.As(err, &failure) && (failure.Code() != connect.CodeUnavailable || strings.Contains(failure.Message(), "outcome unknown"))
	}
	var dial *net.OpError
	return !errors.As(err, &dial) || dial.Op != "dial"
}

func callOnce[Q, A any](ctx context.Context, timeout time.Duration, q *Q, call func(context.Context, *connect.Request[Q]) (*connect.Response[A], error)) (*A, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := call(ctx, connect.NewRequest(q))
	if err != nil {
		return nil, err
	}
	return answer.Msg, nil
}

// again reports whether another control instance may answer better.
func again(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded, connect.CodeUnknown, connect.CodeCanceled:
		return true
	default:
		return false
	}
}

// ConflictOf returns the detail of a command that lost a race, nil for none.
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

func bearer(token string) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, q connect.AnyRequest) (connect.AnyResponse, error) {
			if token != "" {
				q.Header().Set("Authorization", "Bearer "+token)
			}
			return next(ctx, q)
		}
	}
}
