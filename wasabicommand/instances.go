package wasabicommand

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/peterbourgon/ff/v3/ffcli"

	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/wasabioperator"
)

func stateName(i *wasabistandv1.Instance) string {
	name := strings.ToLower(strings.TrimPrefix(i.State.String(), "INSTANCE_STATE_"))
	if i.Drained {
		name += ",drained"
	}
	if i.Suspect {
		name += ",suspect"
	}
	return name
}

func printInstances(w io.Writer, list []*wasabistandv1.Instance) {
	fmt.Fprintln(w, "INSTANCE\tSERVICE\tSTATE\tREGION\tFAILURE DOMAIN\tSLOTS\tCONNECTIONS\tREVISION\tRENEWED\tLINK ADDRESS")
	for _, i := range list {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%v ago\t%s\n", i.Id, i.Service, stateName(i), i.Region, i.FailureDomain, i.Slots, i.Connections,
			i.RevisionInForce, time.Duration(i.RenewedMsAgo)*time.Millisecond, i.LinkAddress)
	}
}

func newInstances(out io.Writer) *ffcli.Command {
	return command(out, "instances", "instances [flags] [SERVICE]", "list the announced upstream instances", "", false,
		func(s *commonFlags, _ *flag.FlagSet) func(context.Context, []string) error {
			return func(ctx context.Context, args []string) error {
				c, err := s.client()
				if err != nil {
					return err
				}
				q := &wasabistandv1.ListInstancesRequest{}
				if len(args) > 0 {
					q.Service = args[0]
				}
				a, err := wasabioperator.Call(ctx, c, q, func(k operatorService) func(context.Context, *connect.Request[wasabistandv1.ListInstancesRequest]) (*connect.Response[wasabistandv1.ListInstancesResponse], error) {
					return k.ListInstances
				})
				if err != nil {
					return err
				}
				return s.print(a, func(w io.Writer) { printInstances(w, a.Instances) })
			}
		})
}

func newDrain(out io.Writer, drain bool) *ffcli.Command {
	name, help := "undrain", "end the drain of an instance"
	if drain {
		name, help = "drain", "stop sending new calls to an instance; calls in flight finish"
	}
	return command(out, name, name+" [flags] INSTANCE", help, "", true,
		func(s *commonFlags, f *flag.FlagSet) func(context.Context, []string) error {
			comment := f.String("comment", "", "text for the history")
			return func(ctx context.Context, args []string) error {
				if len(args) != 1 {
					return usageError("%s needs one instance", name)
				}
				c, err := s.client()
				if err != nil {
					return err
				}
				identity, err := s.identity(c)
				if err != nil {
					return err
				}
				revision, again, err := sendDrain(ctx, c, drain, identity, args[0], *comment)
				if err != nil {
					return s.explain(err, identity)
				}
				return s.print(&wasabistandv1.DrainResponse{Revision: revision, Repeated: again}, func(w io.Writer) {
					fmt.Fprintf(w, "%s of %s accepted as revision %d%s\n", name, args[0], revision, repeatedSuffix(again))
				})
			}
		})
}

func sendDrain(ctx context.Context, c *wasabioperator.Client, drain bool, identity *wasabistandv1.CommandIdentity, instance, comment string) (uint64, bool, error) {
	if drain {
		q := &wasabistandv1.DrainRequest{Command: identity, Instance: instance, Comment: comment}
		a, err := wasabioperator.Call(ctx, c, q, func(k operatorService) func(context.Context, *connect.Request[wasabistandv1.DrainRequest]) (*connect.Response[wasabistandv1.DrainResponse], error) {
			return k.Drain
		})
		return a.GetRevision(), a.GetRepeated(), err
	}
	q := &wasabistandv1.UndrainRequest{Command: identity, Instance: instance, Comment: comment}
	a, err := wasabioperator.Call(ctx, c, q, func(k operatorService) func(context.Context, *connect.Request[wasabistandv1.UndrainRequest]) (*connect.Response[wasabistandv1.UndrainResponse], error) {
		return k.Undrain
	})
	return a.GetRevision(), a.GetRepeated(), err
}

func newStatus(out io.Writer) *ffcli.Command {
	return command(out, "status", "status [flags]", "show the applied revisions, and the instances that lag or are out of reach", "", false,
		func(s *commonFlags, _ *flag.FlagSet) func(context.Context, []string) error {
			return func(ctx context.Context, _ []string) error {
				c, err := s.client()
				if err != nil {
					return err
				}
				a, err := wasabioperator.Call(ctx, c, &wasabistandv1.StatusRequest{}, func(k operatorService) func(context.Context, *connect.Request[wasabistandv1.StatusRequest]) (*connect.Response[wasabistandv1.StatusResponse], error) {
					return k.Status
				})
				if err != nil {
					return err
				}
				return s.print(a, func(w io.Writer) { printStatus(w, a) })
			}
		})
}

func printStatus(w io.Writer, a *wasabistandv1.StatusResponse) {
	fmt.Fprintf(w, "accepted revision %d; %d instances, %d lagging, %d out of reach\n", a.Revision, len(a.Instances), len(a.Lagging), len(a.OutOfReach))
	if len(a.Lagging) > 0 {
		fmt.Fprintf(w, "lagging: %s\n", strings.Join(a.Lagging, ", "))
	}
	if len(a.OutOfReach) > 0 {
		fmt.Fprintf(w, "out of reach: %s\n", strings.Join(a.OutOfReach, ", "))
	}
	fmt.Fprintln(w, "\nGROUP\tMEMBER\tADDRESS\tROLE\tVOTER\tSYNCED TO\tHEARD")
	for _, g := range a.Groups {
		for _, m := range g.Members {
			role := "follower"
			if m.Id == g.Leader {
				role = "leader"
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%t\t%d of %d\t%v ago\n", g.Name, m.Id, m.Address, role, m.Voter, m.MatchIndex, g.CommitIndex, time.Duration(m.HeardMsAgo)*time.Millisecond)
		}
	}
	fmt.Fprintln(w)
	printInstances(w, a.Instances)
}

func newMembers(out io.Writer) *ffcli.Command {
	return command(out, "members", "members [flags] add|remove INSTANCE [ADDRESS]", "add or remove a control instance of a group",
		"A new instance first replicates the log and becomes a voter only once it has caught up. To\nreplace a lost instance, remove it and then add the new one.", true,
		func(s *commonFlags, f *flag.FlagSet) func(context.Context, []string) error {
			group := f.String("group", "root", "the group to change")
			return func(ctx context.Context, args []string) error {
				q := &wasabistandv1.ChangeMembersRequest{Group: *group}
				switch {
				case len(args) == 3 && args[0] == "add":
					q.Change = &wasabistandv1.ChangeMembersRequest_Add{Add: &wasabistandv1.MemberAddress{Id: args[1], Address: args[2]}}
				case len(args) == 2 && args[0] == "remove":
					q.Change = &wasabistandv1.ChangeMembersRequest_Remove{Remove: args[1]}
				default:
					return usageError("members needs \"add INSTANCE ADDRESS\" or \"remove INSTANCE\"")
				}
				c, err := s.client()
				if err != nil {
					return err
				}
				if q.Command, err = s.identity(c); err != nil {
					return err
				}
				a, err := wasabioperator.Call(ctx, c, q, func(k operatorService) func(context.Context, *connect.Request[wasabistandv1.ChangeMembersRequest]) (*connect.Response[wasabistandv1.ChangeMembersResponse], error) {
					return k.ChangeMembers
				})
				if err != nil {
					return s.explain(err, q.Command)
				}
				return s.print(a, func(w io.Writer) {
					printStatus(w, &wasabistandv1.StatusResponse{Groups: []*wasabistandv1.GroupStatus{a.Group}})
				})
			}
		})
}
