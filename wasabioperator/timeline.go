package wasabioperator

import (
	"context"
	"sync"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/gen/wasabistand/v1/wasabistandv1connect"
	"github.com/wasabistand/wasabistand/wasabievent"
	"github.com/wasabistand/wasabistand/wasabiwire"
)

// maxParallelReads bounds the processes that one timeline reads concurrently.
const maxParallelReads = 64

// Timeline holds the merged events of all processes that could be read.
type Timeline struct {
	Events []wasabistand.Event
	// Dropped is the number of events that the processes no longer hold.
	Dropped uint64
	// Unread lists the addresses that could not be read.
	Unread []string
}

// Timeline reads the events of the control instances and of all announced
// nodes, and merges them in causal order.
func (c *Client) Timeline(ctx context.Context, q *wasabistandv1.ListEventsRequest) (Timeline, error) {
	list, err := Call(ctx, c, &wasabistandv1.ListInstancesRequest{}, func(k wasabistandv1connect.OperatorServiceClient) func(context.Context, *connect.Request[wasabistandv1.ListInstancesRequest]) (*connect.Response[wasabistandv1.ListInstancesResponse], error) {
		return k.ListInstances
	})
	if err != nil {
		return Timeline{}, err
	}
	addresses := append([]string(nil), c.options.addresses...)
	for _, i := range list.Instances {
		if i.AdminAddress != "" {
			addresses = append(addresses, i.AdminAddress)
		}
	}
	var mu sync.Mutex
	var out Timeline
	var lists [][]wasabistand.Event
	group := errgroup.Group{}
	group.SetLimit(maxParallelReads)
	for _, a := range addresses {
		group.Go(func() error {
			k := wasabistandv1connect.NewEventServiceClient(c.options.http, BaseURL(a), connect.WithInterceptors(bearerToken(c.options.token)))
			response, err := callOnce(ctx, c.options.timeout, q, k.ListEvents)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				out.Unread = append(out.Unread, a)
				return nil
			}
			events := make([]wasabistand.Event, len(response.Events))
			for i, e := range response.Events {
				events[i] = wasabiwire.ToEvent(e)
			}
			lists = append(lists, events)
			out.Dropped += response.Dropped
			return nil
		})
	}
	_ = group.Wait()
	out.Events = wasabievent.Merge(lists...)
	return out, nil
}
