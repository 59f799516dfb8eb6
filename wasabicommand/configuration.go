package wasabicommand

import (
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"github.com/pelletier/go-toml/v2"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/gen/wasabistand/v1/wasabistandv1connect"
	"github.com/wasabistand/wasabistand/wasabiconfig"
	"github.com/wasabistand/wasabistand/wasabioperator"
	"github.com/wasabistand/wasabistand/wasabisettings"
)

// operatorService abbreviates the client type that every use of
// wasabioperator.Call names.
type operatorService = wasabistandv1connect.OperatorServiceClient

// fileChecks maps the kinds of files that check accepts to their validation.
var fileChecks = map[string]func(file string) error{
	"configuration": func(file string) error {
		text, err := os.ReadFile(file)
		if err == nil {
			_, err = wasabiconfig.ParseFile(file, text)
		}
		return err
	},
	"node":    func(file string) error { _, err := wasabisettings.LoadNode(file); return err },
	"control": func(file string) error { _, err := wasabisettings.LoadControl(file); return err },
}

func newCheck(out io.Writer) *ffcli.Command {
	f := flag.NewFlagSet("wasabistand check", flag.ContinueOnError)
	kind := f.String("kind", "configuration", "what the files are: configuration, node or control")
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "wasabistand check [-kind configuration|node|control] FILE...",
		ShortHelp:  "check a configuration or settings file without contacting a process",
		LongHelp:   "Prints each fault with file, line, key, value and what is allowed.\n\n" + ExitCodes,
		FlagSet:    f,
		Exec: func(_ context.Context, args []string) error {
			check, ok := fileChecks[*kind]
			if !ok {
				return usageError("-kind %q, allowed are configuration, node, control", *kind)
			}
			if len(args) == 0 {
				return usageError("check needs at least one file")
			}
			for _, file := range args {
				if err := check(file); err != nil {
					return err
				}
				fmt.Fprintf(out, "%s: ok\n", file)
			}
			return nil
		},
	}
}

func newApply(out io.Writer) *ffcli.Command {
	return command(out, "apply", "apply [flags] FILE", "apply a configuration file",
		"The file is checked as a whole, first locally and then by the control instance. State the\nrevision that it is based on with -expect; another operator's change since then is reported\nas a conflict and not overwritten.", true,
		func(s *commonFlags, f *flag.FlagSet) func(context.Context, []string) error {
			expect := f.Uint64("expect", 0, "the revision that the file is based on; 0 for the first")
			comment := f.String("comment", "", "text for the history")
			return func(ctx context.Context, args []string) error {
				if len(args) != 1 {
					return usageError("apply needs one file")
				}
				text, err := os.ReadFile(args[0])
				if err != nil {
					return wasabistand.ErrInvalid.Wrap(err)
				}
				if _, err := wasabiconfig.ParseFile(args[0], text); err != nil {
					return err
				}
				c, err := s.client()
				if err != nil {
					return err
				}
				identity, err := s.identity(c)
				if err != nil {
					return err
				}
				q := &wasabistandv1.ApplyRequest{Command: identity, ExpectedRevision: *expect, Toml: string(text), Comment: *comment}
				a, err := wasabioperator.Call(ctx, c, q, func(k operatorService) func(context.Context, *connect.Request[wasabistandv1.ApplyRequest]) (*connect.Response[wasabistandv1.ApplyResponse], error) {
					return k.Apply
				})
				if err != nil {
					return s.explain(err, identity)
				}
				return s.print(a, func(w io.Writer) {
					fmt.Fprintf(w, "accepted as revision %d%s\n", a.Revision, repeatedSuffix(a.Repeated))
				})
			}
		})
}

func repeatedSuffix(r bool) string {
	if r {
		return " (it had been accepted before)"
	}
	return ""
}

// identity returns a new command identity or the one given by flags.
func (s *commonFlags) identity(c *wasabioperator.Client) (*wasabistandv1.CommandIdentity, error) {
	if s.commandID == "" {
		return c.NewIdentity(), nil
	}
	if s.issuedMs <= 0 {
		return nil, usageError("-command-id needs -issued, the time of the first try")
	}
	return &wasabistandv1.CommandIdentity{Id: s.commandID, IssuedUnixMs: s.issuedMs}, nil
}

// explain adds to an error what the operator can do about it.
func (s *commonFlags) explain(err error, identity *wasabistandv1.CommandIdentity) error {
	if k := wasabioperator.ConflictOf(err); k != nil {
		return fmt.Errorf("%w\nrevision %d by %q of %s won; look at it with show and compare, then apply again with -expect %d",
			err, k.LatestRevision, k.Winner, time.UnixMilli(k.WonUnixMs).Format(time.RFC3339), k.LatestRevision)
	}
	if ExitCode(err) == ExitUnknown {
		return fmt.Errorf("%w\nsend the same command again with -command-id %s -issued %d", err, identity.Id, identity.IssuedUnixMs)
	}
	return err
}

func getConfiguration(ctx context.Context, s *commonFlags, revision uint64) (*wasabistandv1.GetConfigurationResponse, error) {
	c, err := s.client()
	if err != nil {
		return nil, err
	}
	return wasabioperator.Call(ctx, c, &wasabistandv1.GetConfigurationRequest{Revision: revision}, func(k operatorService) func(context.Context, *connect.Request[wasabistandv1.GetConfigurationRequest]) (*connect.Response[wasabistandv1.GetConfigurationResponse], error) {
		return k.GetConfiguration
	})
}

func newShow(out io.Writer) *ffcli.Command {
	return command(out, "show", "show [flags] [REVISION]", "show a configuration, the latest by default", "", false,
		func(s *commonFlags, _ *flag.FlagSet) func(context.Context, []string) error {
			return func(ctx context.Context, args []string) error {
				var revision uint64
				if len(args) > 0 {
					n, err := strconv.ParseUint(args[0], 10, 64)
					if err != nil {
						return usageError("revision %q is not a number", args[0])
					}
					revision = n
				}
				a, err := getConfiguration(ctx, s, revision)
				if err != nil {
					return err
				}
				return s.print(a, func(w io.Writer) { fmt.Fprintf(w, "# revision %d\n%s", a.Revision, a.Toml) })
			}
		})
}

func newCompare(out io.Writer) *ffcli.Command {
	return command(out, "compare", "compare [flags] REVISION|FILE REVISION|FILE", "show what differs between two configurations",
		"Each side is a revision number, \"latest\", or a file.", false,
		func(s *commonFlags, _ *flag.FlagSet) func(context.Context, []string) error {
			return func(ctx context.Context, args []string) error {
				if len(args) != 2 {
					return usageError("compare needs two sides")
				}
				var sides [2]map[string]string
				for i, a := range args {
					text, err := loadSide(ctx, s, a)
					if err != nil {
						return err
					}
					if sides[i], err = flatten(text); err != nil {
						return err
					}
				}
				changes := differences(sides[0], sides[1])
				if s.json {
					return s.printJSON(changes)
				}
				for _, c := range changes {
					fmt.Fprintf(s.out, "%s: %s -> %s\n", c.Key, c.Old, c.New)
				}
				if len(changes) == 0 {
					fmt.Fprintln(s.out, "no difference")
				}
				return nil
			}
		})
}

// loadSide returns the document that an argument of compare refers to: a
// revision, the latest one, or a file.
func loadSide(ctx context.Context, s *commonFlags, name string) (string, error) {
	if n, err := strconv.ParseUint(name, 10, 64); err == nil || name == "latest" {
		a, err := getConfiguration(ctx, s, n)
		if err != nil {
			return "", err
		}
		return a.Toml, nil
	}
	text, err := os.ReadFile(name)
	return string(text), wasabistand.ErrInvalid.Wrap(err)
}

// Change is one key that differs between two configurations.
type Change struct {
	Key, Old, New string
}

func differences(a, b map[string]string) []Change {
	const absent = "(none)"
	keys := map[string]bool{}
	for k := range a {
		keys[k] = true
	}
	for k := range b {
		keys[k] = true
	}
	list := []Change{}
	for _, k := range slices.Sorted(maps.Keys(keys)) {
		before, had := a[k]
		after, has := b[k]
		if !had {
			before = absent
		}
		if !has {
			after = absent
		}
		if before != after {
			list = append(list, Change{k, before, after})
		}
	}
	return list
}

// flatten returns the values of a document by key. List elements are identified
// by their names, so that moving a service within the file is not a difference.
func flatten(text string) (map[string]string, error) {
	var doc map[string]any
	if err := toml.Unmarshal([]byte(text), &doc); err != nil {
		return nil, wasabistand.ErrInvalid.Wrap(err)
	}
	out := map[string]string{}
	flattenInto(out, "", doc)
	return out, nil
}

func flattenInto(out map[string]string, key string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for k, e := range v {
			if key != "" {
				k = key + "." + k
			}
			flattenInto(out, k, e)
		}
	case []any:
		for i, e := range v {
			name := strconv.Itoa(i)
			if m, ok := e.(map[string]any); ok {
				if n, ok := m["Name"].(string); ok {
					name = n
				} else if a, ok := m["A"].(string); ok {
					name = fmt.Sprint(a, "/", m["B"])
				}
			}
			flattenInto(out, key+"["+name+"]", e)
		}
	default:
		out[key] = fmt.Sprint(v)
	}
}

func newHistory(out io.Writer) *ffcli.Command {
	return command(out, "history", "history [flags]", "list accepted commands and who sent them", "", false,
		func(s *commonFlags, f *flag.FlagSet) func(context.Context, []string) error {
			limit := f.Uint("limit", 50, "how many entries, 1 to 1000")
			before := f.Uint64("before", 0, "only revisions below this one")
			return func(ctx context.Context, _ []string) error {
				c, err := s.client()
				if err != nil {
					return err
				}
				q := &wasabistandv1.HistoryRequest{Limit: uint32(*limit), BeforeRevision: *before}
				a, err := wasabioperator.Call(ctx, c, q, func(k operatorService) func(context.Context, *connect.Request[wasabistandv1.HistoryRequest]) (*connect.Response[wasabistandv1.HistoryResponse], error) {
					return k.History
				})
				if err != nil {
					return err
				}
				return s.print(a, func(w io.Writer) {
					fmt.Fprintln(w, "REVISION\tKIND\tOPERATOR\tACCEPTED\tINSTANCE\tCOMMENT")
					for _, e := range a.Entries {
						fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\n", e.Revision, e.Kind, e.Operator, time.UnixMilli(e.AcceptedUnixMs).Format(time.RFC3339), e.Instance, e.Comment)
					}
				})
			}
		})
}
