// Package wasabicommand implements the command line for operators. Each command
// is a client of the operators' API; the package decides how responses are
// printed and which exit code an error has.
package wasabicommand

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/wasabioperator"
)

// Exit codes.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitInvalid     = 2
	ExitConflict    = 3
	ExitUnavailable = 4
	ExitUnknown     = 5
	ExitDenied      = 6
)

// ExitCodes is the part of the help texts that explains the exit codes.
const ExitCodes = `EXIT CODES
  0  done
  1  failed
  2  a flag, a file or a value is not allowed; nothing was changed
  3  another command won the race, or the command is too old; nothing was changed
  4  no control instance answered for a quorum; nothing was changed
  5  the outcome is unknown: send the same command again with -command-id
  6  the token is missing, unknown or has only the right Read`

// EnvPrefix is the prefix of the environment variables that set flags, such as
// WASABISTAND_TOKEN.
const EnvPrefix = "WASABISTAND"

// ExitCode returns the exit code of an error.
func ExitCode(err error) int {
	var failure *connect.Error
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return ExitOK
	case wasabistand.ErrInvalid.Has(err):
		return ExitInvalid
	case !errors.As(err, &failure):
		return ExitFailed
	}
	switch failure.Code() {
	case connect.CodeInvalidArgument, connect.CodeNotFound, connect.CodeResourceExhausted:
		return ExitInvalid
	case connect.CodeAborted, connect.CodeFailedPrecondition:
		return ExitConflict
	case connect.CodeUnauthenticated, connect.CodePermissionDenied:
		return ExitDenied
	case connect.CodeUnavailable:
		if strings.Contains(failure.Message(), "outcome unknown") {
			return ExitUnknown
		}
		return ExitUnavailable
	case connect.CodeDeadlineExceeded, connect.CodeCanceled:
		return ExitUnknown
	default:
		return ExitFailed
	}
}

// commonFlags are the flags that all operator commands have.
type commonFlags struct {
	api       string
	token     string
	timeout   time.Duration
	json      bool
	commandID string
	issuedMs  int64
	out       io.Writer
}

func (s *commonFlags) register(f *flag.FlagSet) {
	f.StringVar(&s.api, "api", "127.0.0.1:9002", "API addresses of control instances, separated by commas")
	f.StringVar(&s.token, "token", "", "bearer token (better given as "+EnvPrefix+"_TOKEN)")
	f.DurationVar(&s.timeout, "timeout", 5*time.Second, "how long to wait for a response")
	f.BoolVar(&s.json, "json", false, "print JSON instead of a table")
}

func (s *commonFlags) registerChange(f *flag.FlagSet) {
	s.register(f)
	f.StringVar(&s.commandID, "command-id", "", "identity of the command to retry")
	f.Int64Var(&s.issuedMs, "issued", 0, "when the command to retry was first sent, in milliseconds since the Unix epoch")
}

func (s *commonFlags) client() (*wasabioperator.Client, error) {
	var list []string
	for a := range strings.SplitSeq(s.api, ",") {
		if a = strings.TrimSpace(a); a != "" {
			list = append(list, a)
		}
	}
	return wasabioperator.New(wasabioperator.NewOptions(list...).WithToken(s.token).WithTimeout(s.timeout))
}

// print writes a message as JSON, or calls table with a tab writer.
func (s *commonFlags) print(m proto.Message, table func(w io.Writer)) error {
	if s.json {
		text, err := protojson.MarshalOptions{Multiline: true, EmitUnpopulated: true}.Marshal(m)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintln(s.out, string(text))
		return err
	}
	w := tabwriter.NewWriter(s.out, 0, 8, 2, ' ', 0)
	table(w)
	return w.Flush()
}

func (s *commonFlags) printJSON(v any) error {
	e := json.NewEncoder(s.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func command(out io.Writer, name, usage, help, long string, change bool, setup func(s *commonFlags, f *flag.FlagSet) func(ctx context.Context, args []string) error) *ffcli.Command {
	f := flag.NewFlagSet("wasabistand "+name, flag.ContinueOnError)
	s := &commonFlags{out: out}
	if change {
		s.registerChange(f)
	} else {
		s.register(f)
	}
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "wasabistand " + usage,
		ShortHelp:  help,
		LongHelp:   strings.TrimSpace(long + "\n\n" + ExitCodes),
		FlagSet:    f,
		Options:    []ff.Option{ff.WithEnvVarPrefix(EnvPrefix)},
		Exec:       setup(s, f),
	}
}

// usageError returns an error for wrong arguments or flags.
func usageError(format string, args ...any) error {
	return wasabistand.ErrInvalid.New(format, args...)
}

// UnknownCommand returns the error for a command that does not exist.
func UnknownCommand(name string) error {
	return usageError("unknown command %q; see wasabistand -help", name)
}

// New returns the operator commands, which print to out.
func New(out io.Writer) []*ffcli.Command {
	if out == nil {
		out = os.Stdout
	}
	return []*ffcli.Command{
		newCheck(out),
		newApply(out),
		newShow(out),
		newCompare(out),
		newHistory(out),
		newInstances(out),
		newDrain(out, true),
		newDrain(out, false),
		newStatus(out),
		newMembers(out),
		newTimeline(out),
		newTrace(out, os.Stdin),
	}
}
