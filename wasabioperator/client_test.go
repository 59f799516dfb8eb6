package wasabioperator_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/gen/wasabistand/v1/wasabistandv1connect"
	"github.com/wasabistand/wasabistand/wasabioperator"
)

// fakeControl handles Drain with a function.
type fakeControl struct {
	wasabistandv1connect.UnimplementedOperatorServiceHandler
	drain func(*wasabistandv1.DrainRequest) (*wasabistandv1.DrainResponse, error)
}

func (c fakeControl) Drain(_ context.Context, q *connect.Request[wasabistandv1.DrainRequest]) (*connect.Response[wasabistandv1.DrainResponse], error) {
	a, err := c.drain(q.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(a), nil
}

func serve(t *testing.T, f func(*wasabistandv1.DrainRequest) (*wasabistandv1.DrainResponse, error)) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(wasabistandv1connect.NewOperatorServiceHandler(fakeControl{drain: f}))
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return s.URL
}

func drain(t *testing.T, addresses ...string) (*wasabistandv1.DrainResponse, error) {
	t.Helper()
	c, err := wasabioperator.New(wasabioperator.NewOptions(addresses...).WithRounds(1))
	assert.NilError(t, err)
	q := &wasabistandv1.DrainRequest{Command: c.NewIdentity(), Instance: "a"}
	return wasabioperator.Call(t.Context(), c, q, func(k wasabistandv1connect.OperatorServiceClient) func(context.Context, *connect.Request[wasabistandv1.DrainRequest]) (*connect.Response[wasabistandv1.DrainResponse], error) {
		return k.Drain
	})
}

// Guards against a retry with another identity, which would execute the command
// twice.
func TestRetryKeepsIdentity(t *testing.T) {
	identities := make(chan string, 2)
	a := serve(t, func(q *wasabistandv1.DrainRequest) (*wasabistandv1.DrainResponse, error) {
		identities <- q.Command.Id
		panic(http.ErrAbortHandler) // The response is lost.
	})
	b := serve(t, func(q *wasabistandv1.DrainRequest) (*wasabistandv1.DrainResponse, error) {
		identities <- q.Command.Id
		return &wasabistandv1.DrainResponse{Revision: 7, Repeated: true}, nil
	})
	response, err := drain(t, a, b)
	assert.NilError(t, err)
	assert.Equal(t, response.Revision, uint64(7))
	first := <-identities
	assert.Assert(t, first != "")
	assert.Equal(t, <-identities, first)
}

// Guards against reporting that nothing was changed when an earlier attempt may
// have been committed.
func TestLostResponseHasUnknownOutcome(t *testing.T) {
	a := serve(t, func(*wasabistandv1.DrainRequest) (*wasabistandv1.DrainResponse, error) { panic(http.ErrAbortHandler) })
	refuse := func(*wasabistandv1.DrainRequest) (*wasabistandv1.DrainResponse, error) {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("no quorum"))
	}
	_, err := drain(t, a, serve(t, refuse))
	assert.ErrorContains(t, err, "outcome unknown")
	_, err = drain(t, serve(t, refuse), "127.0.0.1:1")
	assert.Assert(t, err != nil)
	assert.Equal(t, connect.CodeOf(err), connect.CodeUnavailable)
	assert.Assert(t, !strings.Contains(err.Error(), "outcome unknown"), "%v", err)
}

// Guards against reporting an unknown outcome for a read-only call.
func TestReadHasNoUnknownOutcome(t *testing.T) {
	mux := http.NewServeMux()
	mux.HandleFunc("/", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	s := httptest.NewServer(mux)
	defer s.Close()
	c, err := wasabioperator.New(wasabioperator.NewOptions(s.URL).WithRounds(1))
	assert.NilError(t, err)
	_, err = wasabioperator.Call(t.Context(), c, &wasabistandv1.StatusRequest{}, func(k wasabistandv1connect.OperatorServiceClient) func(context.Context, *connect.Request[wasabistandv1.StatusRequest]) (*connect.Response[wasabistandv1.StatusResponse], error) {
		return k.Status
	})
	assert.Assert(t, err != nil && !strings.Contains(err.Error(), "outcome unknown"), "%v", err)
}

// Guards against retrying a command that lost a race at other control instances.
func TestConflictIsFinal(t *testing.T) {
	var calls atomic.Int64
	f := func(*wasabistandv1.DrainRequest) (*wasabistandv1.DrainResponse, error) {
		calls.Add(1)
		failure := connect.NewError(connect.CodeAborted, errors.New("lost"))
		detail, err := connect.NewErrorDetail(&wasabistandv1.Conflict{LatestRevision: 9, Winner: "alice"})
		assert.NilError(t, err)
		failure.AddDetail(detail)
		return nil, failure
	}
	_, err := drain(t, serve(t, f), serve(t, f))
	assert.Equal(t, wasabioperator.ConflictOf(err).GetLatestRevision(), uint64(9))
	assert.Equal(t, calls.Load(), int64(1))
}
