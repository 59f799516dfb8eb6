package wasabicommand

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
)

func newTimeline(out io.Writer) *ffcli.Command {
	return command(out, "timeline", "timeline [flags]", "show the events of all processes, merged into one order", "", false,
		func(s *commonFlags, f *flag.FlagSet) func(context.Context, []string) error {
			q := &wasabistandv1.ListEventsRequest{}
			f.StringVar(&q.RequestId, "request", "", "only events of this request")
			f.StringVar(&q.Instance, "instance", "", "only events of this process")
			f.StringVar(&q.Service, "service", "", "only events of this service")
			kinds := f.String("kinds", "", "only these kinds, separated by commas, such as call.refused,config.in_force")
			since := f.Duration("since", 0, "only events of this last period, such as 5m; 0 for all")
			limit := f.Uint("limit", 1000, "how many events of each process, 1 to 10000")
			return func(ctx context.Context, _ []string) error {
				if *kinds != "" {
					q.Kinds = strings.Split(*kinds, ",")
				}
				if *since > 0 {
					q.FromUnixMs = time.Now().Add(-*since).UnixMilli()
				}
				q.Limit = uint32(*limit)
				c, err := s.client()
				if err != nil {
					return err
				}
				t, err := c.Timeline(ctx, q)
				if err != nil {
					return err
				}
				if s.json {
					return s.printJSON(t)
				}
				w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
				fmt.Fprintln(w, "TIME\tPROCESS\tEVENT\tSERVICE/CALL\tCALLER\tREQUEST\tREASON\tDETAILS")
				for _, e := range t.Events {
					fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", e.Time.Time().UTC().Format("2006-01-02T15:04:05.000000Z"), e.Instance, e.Kind, callName(e), e.Caller, e.RequestID, e.Reason, fields(e))
				}
				if err := w.Flush(); err != nil {
					return err
				}
				if t.Dropped > 0 {
					fmt.Fprintf(out, "%d earlier events are no longer held\n", t.Dropped)
				}
				for _, a := range t.Unread {
					fmt.Fprintf(out, "no answer from %s\n", a)
				}
				return nil
			}
		})
}

func callName(e wasabistand.Event) string {
	if e.Call == "" {
		return e.Service
	}
	return e.Service + "/" + e.Call
}

func fields(e wasabistand.Event) string {
	list := make([]string, len(e.Fields))
	for i, f := range e.Fields {
		list[i] = f.Name + "=" + f.Value
	}
	return strings.Join(list, " ")
}
