package wasabidaemon

import (
	"context"
	"fmt"
	"net/http"

	"connectrpc.com/connect"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/gen/wasabistand/v1/wasabistandv1connect"
	"github.com/wasabistand/wasabistand/wasabievent"
	"github.com/wasabistand/wasabistand/wasabiwire"
)

// Limits of a response of the event service and of a request to it.
const (
	defaultEvents   = 1000
	maxEvents       = 10_000
	maxRequestBytes = 64 << 10
)

// events implements the event service.
type events struct{ ring *wasabievent.Ring }

// eventService returns the path and the handler that serve a ring's events on
// the admin address.
func eventService(ring *wasabievent.Ring) (string, http.Handler) {
	return wasabistandv1connect.NewEventServiceHandler(events{ring}, connect.WithReadMaxBytes(maxRequestBytes))
}

// ListEvents implements the schema's event service.
func (e events) ListEvents(_ context.Context, r *connect.Request[wasabistandv1.ListEventsRequest]) (*connect.Response[wasabistandv1.ListEventsResponse], error) {
	limit := int(r.Msg.GetLimit())
	if limit > maxEvents {
		return nil, connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("limit: %d, allowed are 0 to %d", limit, maxEvents))
	}
	if limit == 0 {
		limit = defaultEvents
	}
	f := wasabievent.Filter{
		RequestID: r.Msg.GetRequestId(), Instance: r.Msg.GetInstance(), Service: r.Msg.GetService(),
		From: wasabiwire.ToTime(r.Msg.GetFromUnixMs()), To: wasabiwire.ToTime(r.Msg.GetToUnixMs()), Limit: limit,
	}
	for _, k := range r.Msg.GetKinds() {
		f.Kinds = append(f.Kinds, wasabistand.EventKind(k))
	}
	list, dropped := e.ring.List(f)
	out := &wasabistandv1.ListEventsResponse{Dropped: dropped}
	for _, v := range list {
		out.Events = append(out.Events, wasabiwire.FromEvent(v))
	}
	return connect.NewResponse(out), nil
}
