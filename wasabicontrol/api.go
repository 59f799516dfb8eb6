package wasabicontrol

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/net/netutil"
	"google.golang.org/protobuf/proto"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/gen/wasabistand/v1/wasabistandv1connect"
	"github.com/wasabistand/wasabistand/wasabievent"
	"github.com/wasabistand/wasabistand/wasabiwire"
)

// Limits of the API's HTTP server and of its requests.
const (
	maxAPIConnections = 1024
	maxHeaderBytes    = 16 << 10
	headerTimeout     = 5 * time.Second
	requestTimeout    = 30 * time.Second
	idleTimeout       = 2 * time.Minute
	defaultEventLimit = 1000
	maxEventLimit     = 10_000
)

// changeProcedures lists the procedures that require the right Change.
var changeProcedures = map[string]bool{
	wasabistandv1connect.OperatorServiceApplyProcedure:         true,
	wasabistandv1connect.OperatorServiceDrainProcedure:         true,
	wasabistandv1connect.OperatorServiceUndrainProcedure:       true,
	wasabistandv1connect.OperatorServiceChangeMembersProcedure: true,
}

// newForwardedRequest returns an empty request message for a procedure that
// is executed at a leader, nil for other procedures.
func newForwardedRequest(method string) proto.Message {
	switch method {
	case wasabistandv1connect.OperatorServiceApplyProcedure:
		return new(wasabistandv1.ApplyRequest)
	case wasabistandv1connect.OperatorServiceDrainProcedure:
		return new(wasabistandv1.DrainRequest)
	case wasabistandv1connect.OperatorServiceUndrainProcedure:
		return new(wasabistandv1.UndrainRequest)
	case wasabistandv1connect.OperatorServiceChangeMembersProcedure:
		return new(wasabistandv1.ChangeMembersRequest)
	case wasabistandv1connect.OperatorServiceStatusProcedure:
		return new(wasabistandv1.StatusRequest)
	default:
		return nil
	}
}

type operatorKey struct{}

// authorize is an interceptor that identifies the operator by the bearer token
// and checks the token's right. All tokens are compared in constant time, so that
// response times reveal nothing about a token.
func (i *Instance) authorize(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
		scheme, token, _ := strings.Cut(r.Header().Get("Authorization"), " ")
		given := sha256.Sum256([]byte(token))
		var found *Token
		for k := range i.settings.tokens {
			want := sha256.Sum256([]byte(i.settings.tokens[k].Token))
			if subtle.ConstantTimeCompare(given[:], want[:]) == 1 {
				found = &i.settings.tokens[k]
			}
		}
		if found == nil || !strings.EqualFold(scheme, "Bearer") {
			return nil, connect.NewError(connect.CodeUnauthenticated, errors.New("no token, or an unknown one"))
		}
		if changeProcedures[r.Spec().Procedure] && found.Right != Change {
			return nil, connect.NewError(connect.CodePermissionDenied, errors.New("the token has the right Read where Change is needed"))
		}
		response, err := next(context.WithValue(ctx, operatorKey{}, found.Name), r)
		if err != nil {
			return nil, toConnect(err)
		}
		return response, nil
	}
}

func (i *Instance) serveAPI() {
	mux := http.NewServeMux()
	options := []connect.HandlerOption{connect.WithInterceptors(connect.UnaryInterceptorFunc(i.authorize)), connect.WithReadMaxBytes(maxRequestBytes)}
	api := &api{instance: i}
	mux.Handle(wasabistandv1connect.NewOperatorServiceHandler(api, options...))
	mux.Handle(wasabistandv1connect.NewEventServiceHandler(api, options...))
	mux.Handle("/metrics", i.metrics.handler())
	mux.HandleFunc("/livez", func(w http.ResponseWriter, _ *http.Request) { writeHealth(w, i.isLive()) })
	mux.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		writeHealth(w, i.hasRecentQuorum() && !i.stopping.Load())
	})
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	i.apiServer = &http.Server{
		Handler: mux, Protocols: protocols, MaxHeaderBytes: maxHeaderBytes,
		ReadHeaderTimeout: headerTimeout, ReadTimeout: requestTimeout, WriteTimeout: requestTimeout, IdleTimeout: idleTimeout,
	}
	ln := netutil.LimitListener(i.parts.APIListener, maxAPIConnections)
	i.wait.Go(func() {
		if err := i.apiServer.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) && i.ctx.Err() == nil {
			i.log.Error().Err(err).Msg("operator API stopped serving")
		}
	})
}

func writeHealth(w http.ResponseWriter, ok bool) {
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// isLive reports whether the replicas of all groups are running.
func (i *Instance) isLive() bool {
	for _, g := range i.groups {
		if g.runner.Err() != nil {
			return false
		}
	}
	return true
}

// api implements the RPC services of the schema.
type api struct{ instance *Instance }

var (
	_ wasabistandv1connect.OperatorServiceHandler = (*api)(nil)
	_ wasabistandv1connect.EventServiceHandler    = (*api)(nil)
)

func toResponse[A any](m proto.Message, err error) (*connect.Response[A], error) {
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(m.(any).(*A)), nil
}

func (a *api) execute(ctx context.Context, method string, group string, request, response proto.Message) (proto.Message, error) {
	operator, _ := ctx.Value(operatorKey{}).(string)
	return a.instance.execute(ctx, command{method: method, group: group, operator: operator, request: request, response: response})
}

// Apply implements OperatorService.
func (a *api) Apply(ctx context.Context, r *connect.Request[wasabistandv1.ApplyRequest]) (*connect.Response[wasabistandv1.ApplyResponse], error) {
	if err := checkDocument(r.Msg.GetToml()); err != nil {
		return nil, err
	}
	return toResponse[wasabistandv1.ApplyResponse](a.execute(ctx, r.Spec().Procedure, RootGroup, r.Msg, new(wasabistandv1.ApplyResponse)))
}

// Drain implements OperatorService.
func (a *api) Drain(ctx context.Context, r *connect.Request[wasabistandv1.DrainRequest]) (*connect.Response[wasabistandv1.DrainResponse], error) {
	return toResponse[wasabistandv1.DrainResponse](a.execute(ctx, r.Spec().Procedure, RootGroup, r.Msg, new(wasabistandv1.DrainResponse)))
}

// Undrain implements OperatorService.
func (a *api) Undrain(ctx context.Context, r *connect.Request[wasabistandv1.UndrainRequest]) (*connect.Response[wasabistandv1.UndrainResponse], error) {
	return toResponse[wasabistandv1.UndrainResponse](a.execute(ctx, r.Spec().Procedure, RootGroup, r.Msg, new(wasabistandv1.UndrainResponse)))
}

// ChangeMembers implements OperatorService.
func (a *api) ChangeMembers(ctx context.Context, r *connect.Request[wasabistandv1.ChangeMembersRequest]) (*connect.Response[wasabistandv1.ChangeMembersResponse], error) {
	return toResponse[wasabistandv1.ChangeMembersResponse](a.execute(ctx, r.Spec().Procedure, r.Msg.GetGroup(), r.Msg, new(wasabistandv1.ChangeMembersResponse)))
}

// Status implements OperatorService. The request is executed at the leader of
// root, since only the leader tracks the replication progress of the members.
func (a *api) Status(ctx context.Context, r *connect.Request[wasabistandv1.StatusRequest]) (*connect.Response[wasabistandv1.StatusResponse], error) {
	return toResponse[wasabistandv1.StatusResponse](a.execute(ctx, r.Spec().Procedure, RootGroup, r.Msg, new(wasabistandv1.StatusResponse)))
}

// confirmRoot confirms root's state with its quorum before a read and returns
// the state machine.
func (a *api) confirmRoot(ctx context.Context) (*stateMachine, error) {
	ctx, cancel := context.WithTimeout(ctx, a.instance.settings.operatorTimeout)
	defer cancel()
	root := a.instance.groups[RootGroup]
	return root.machine, root.confirmer.confirm(ctx)
}

// GetConfiguration implements OperatorService.
func (a *api) GetConfiguration(ctx context.Context, r *connect.Request[wasabistandv1.GetConfigurationRequest]) (*connect.Response[wasabistandv1.GetConfigurationResponse], error) {
	m, err := a.confirmRoot(ctx)
	if err != nil {
		return nil, err
	}
	d, ok := m.document(r.Msg.GetRevision())
	if !ok && r.Msg.GetRevision() != 0 {
		return nil, Error.New("revision %d: %w", r.Msg.GetRevision(), errNotFound)
	}
	return connect.NewResponse(&wasabistandv1.GetConfigurationResponse{Revision: d.Revision, Toml: d.TOML}), nil
}

// History implements OperatorService.
func (a *api) History(ctx context.Context, r *connect.Request[wasabistandv1.HistoryRequest]) (*connect.Response[wasabistandv1.HistoryResponse], error) {
	n := int(r.Msg.GetLimit())
	if n > maxHistoryEntries {
		return nil, wasabistand.ErrInvalid.New("limit: %d, allowed are 0 to %d", n, maxHistoryEntries)
	}
	if n == 0 {
		n = defaultHistoryEntries
	}
	m, err := a.confirmRoot(ctx)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&wasabistandv1.HistoryResponse{Entries: m.history(n, r.Msg.GetBeforeRevision())}), nil
}

// ListInstances implements OperatorService.
func (a *api) ListInstances(ctx context.Context, r *connect.Request[wasabistandv1.ListInstancesRequest]) (*connect.Response[wasabistandv1.ListInstancesResponse], error) {
	m, err := a.confirmRoot(ctx)
	if err != nil {
		return nil, err
	}
	list, err := a.instance.instances(r.Msg.GetService(), m.current.Load())
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&wasabistandv1.ListInstancesResponse{Instances: list}), nil
}

// ListEvents implements EventService.
func (a *api) ListEvents(_ context.Context, r *connect.Request[wasabistandv1.ListEventsRequest]) (*connect.Response[wasabistandv1.ListEventsResponse], error) {
	n := int(r.Msg.GetLimit())
	if n > maxEventLimit {
		return nil, wasabistand.ErrInvalid.New("limit: %d, allowed are 0 to %d", n, maxEventLimit)
	}
	if n == 0 {
		n = defaultEventLimit
	}
	f := wasabievent.Filter{
		RequestID: r.Msg.GetRequestId(), Instance: r.Msg.GetInstance(), Service: r.Msg.GetService(),
		From: wasabiwire.ToTime(r.Msg.GetFromUnixMs()), To: wasabiwire.ToTime(r.Msg.GetToUnixMs()), Limit: n,
	}
	for _, k := range r.Msg.GetKinds() {
		f.Kinds = append(f.Kinds, wasabistand.EventKind(k))
	}
	list, dropped := a.instance.parts.Events.List(f)
	out := &wasabistandv1.ListEventsResponse{Dropped: dropped}
	for _, e := range list {
		out.Events = append(out.Events, wasabiwire.FromEvent(e))
	}
	return connect.NewResponse(out), nil
}
