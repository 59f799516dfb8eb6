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

// Bounds of the API's HTTP server.
const (
	maxAPIConnections = 1024
	maxHeaderBytes    = 16 << 10
	headerTimeout     = 5 * time.Second
	requestTimeout    = 30 * time.Second
	idleTimeout       = 2 * time.Minute
	defaultEvents     = 1000
	maxEvents         = 10_000
)

// needsChange lists the calls that need the right Change.
var needsChange = map[string]bool{
	wasabistandv1connect.OperatorServiceApplyProcedure:         true,
	wasabistandv1connect.OperatorServiceDrainProcedure:         true,
	wasabistandv1connect.OperatorServiceUndrainProcedure:       true,
	wasabistandv1connect.OperatorServiceChangeMembersProcedure: true,
}

// forwarded returns an empty request of a call that goes to a leader.
func forwarded(method string) proto.Message {
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

// authorize finds the operator of a token and checks the right. All tokens are
// compared in constant time, so that no answer's time tells of a token.
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
		if needsChange[r.Spec().Procedure] && found.Right != Change {
			return nil, connect.NewError(connect.CodePermissionDenied, errors.New("the token has the right Read where Change is needed"))
		}
		answer, err := next(context.WithValue(ctx, operatorKey{}, found.Name), r)
		if err != nil {
			return nil, toConnect(err)
		}
		return answer, nil
	}
}

func (i *Instance) serveAPI() {
	mux := http.NewServeMux()
	options := []connect.HandlerOption{connect.WithInterceptors(connect.UnaryInterceptorFunc(i.authorize)), connect.WithReadMaxBytes(maxRequestBytes)}
	api := &api{instance: i}
	mux.Handle(wasabistandv1connect.NewOperatorServiceHandler(api, options...))
	mux.Handle(wasabistandv1connect.NewEventServiceHandler(api, options...))
	mux.Handle("/metrics", i.metrics.handler())
	mux.HandleFunc("/livez", func(w http.ResponseWriter, _ *http.Request) { health(w, i.live()) })
	mux.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) { health(w, i.confirmed() && !i.stopping.Load()) })
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	i.api = &http.Server{
		Handler: mux, Protocols: protocols, MaxHeaderBytes: maxHeaderBytes,
		ReadHeaderTimeout: headerTimeout, ReadTimeout: requestTimeout, WriteTimeout: requestTimeout, IdleTimeout: idleTimeout,
	}
	ln := netutil.LimitListener(i.parts.APIListener, maxAPIConnections)
	i.wait.Go(func() {
		if err := i.api.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) && i.ctx.Err() == nil {
			i.log.Error().Err(err).Msg("operator API ended")
		}
	})
}

func health(w http.ResponseWriter, ok bool) {
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// live reports whether all replicas run.
func (i *Instance) live() bool {
	for _, g := range i.groups {
		if g.runner.Err() != nil {
			return false
		}
	}
	return true
}

// api serves the schema's services.
type api struct{ instance *Instance }

var (
	_ wasabistandv1connect.OperatorServiceHandler = (*api)(nil)
	_ wasabistandv1connect.EventServiceHandler    = (*api)(nil)
)

func answer[A any](m proto.Message, err error) (*connect.Response[A], error) {
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(m.(any).(*A)), nil
}

func (a *api) run(ctx context.Context, method string, group string, request, response proto.Message) (proto.Message, error) {
	operator, _ := ctx.Value(operatorKey{}).(string)
	return a.instance.run(ctx, command{method: method, group: group, operator: operator, request: request, response: response})
}

// Apply implements OperatorService.
func (a *api) Apply(ctx context.Context, r *connect.Request[wasabistandv1.ApplyRequest]) (*connect.Response[wasabistandv1.ApplyResponse], error) {
	if err := checkDocument(r.Msg.GetToml()); err != nil {
		return nil, err
	}
	return answer[wasabistandv1.ApplyResponse](a.run(ctx, r.Spec().Procedure, RootGroup, r.Msg, new(wasabistandv1.ApplyResponse)))
}

// Drain implements OperatorService.
func (a *api) Drain(ctx context.Context, r *connect.Request[wasabistandv1.DrainRequest]) (*connect.Response[wasabistandv1.DrainResponse], error) {
	return answer[wasabistandv1.DrainResponse](a.run(ctx, r.Spec().Procedure, RootGroup, r.Msg, new(wasabistandv1.DrainResponse)))
}

// Undrain implements OperatorService.
func (a *api) Undrain(ctx context.Context, r *connect.Request[wasabistandv1.UndrainRequest]) (*connect.Response[wasabistandv1.UndrainResponse], error) {
	return answer[wasabistandv1.UndrainResponse](a.run(ctx, r.Spec().Procedure, RootGroup, r.Msg, new(wasabistandv1.UndrainResponse)))
}

// ChangeMembers implements OperatorService.
func (a *api) ChangeMembers(ctx context.Context, r *connect.Request[wasabistandv1.ChangeMembersRequest]) (*connect.Response[wasabistandv1.ChangeMembersResponse], error) {
	return answer[wasabistandv1.ChangeMembersResponse](a.run(ctx, r.Spec().Procedure, r.Msg.GetGroup(), r.Msg, new(wasabistandv1.ChangeMembersResponse)))
}

// Status implements OperatorService. The leader of root answers, since it
// knows how far the members are.
func (a *api) Status(ctx context.Context, r *connect.Request[wasabistandv1.StatusRequest]) (*connect.Response[wasabistandv1.StatusResponse], error) {
	return answer[wasabistandv1.StatusResponse](a.run(ctx, r.Spec().Procedure, RootGroup, r.Msg, new(wasabistandv1.StatusResponse)))
}

// confirm asks root's quorum before a read.
func (a *api) confirm(ctx context.Context) (*machine, error) {
	ctx, cancel := context.WithTimeout(ctx, a.instance.settings.operatorTimeout)
	defer cancel()
	root := a.instance.groups[RootGroup]
	return root.machine, root.confirmer.confirm(ctx)
}

// GetConfiguration implements OperatorService.
func (a *api) GetConfiguration(ctx context.Context, r *connect.Request[wasabistandv1.GetConfigurationRequest]) (*connect.Response[wasabistandv1.GetConfigurationResponse], error) {
	m, err := a.confirm(ctx)
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
	if n > maxHistory {
		return nil, wasabistand.ErrInvalid.New("limit: %d, allowed are 0 to %d", n, maxHistory)
	}
	if n == 0 {
		n = defaultHistory
	}
	m, err := a.confirm(ctx)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&wasabistandv1.HistoryResponse{Entries: m.history(n, r.Msg.GetBeforeRevision())}), nil
}

// ListInstances implements OperatorService.
func (a *api) ListInstances(ctx context.Context, r *connect.Request[wasabistandv1.ListInstancesRequest]) (*connect.Response[wasabistandv1.ListInstancesResponse], error) {
	m, err := a.confirm(ctx)
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
	if n > maxEvents {
		return nil, wasabistand.ErrInvalid.New("limit: %d, allowed are 0 to %d", n, maxEvents)
	}
	if n == 0 {
		n = defaultEvents
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
