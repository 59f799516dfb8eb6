package wasabicommand

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/wasabistand/wasabistand/internal/operate/wasabitrace"
)

func newTrace(out io.Writer, in io.Reader) *ffcli.Command {
	f := flag.NewFlagSet("wasabistand trace", flag.ContinueOnError)
	return &ffcli.Command{
		Name:       "trace",
		ShortUsage: "wasabistand trace REQUEST-ID [FILE ...]",
		ShortHelp:  "find what happened to a request in the logs of many processes",
		LongHelp: strings.TrimSpace(`
Reads logs from files, or from standard input without any, and prints the lines
that name the request, ordered by time, the state changes of the processes
involved since 5 s before, and the cause of the request's outcome.

EXIT CODES
  0  done
  1  a log can't be read, or no line names the request
  2  an argument is missing`),
		FlagSet: f,
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return usageError("trace: request id missing")
			}
			log, err := readLogs(in, args[1:])
			if err != nil {
				return err
			}
			t, err := wasabitrace.Find(log, args[0])
			if err != nil {
				return err
			}
			return printTrace(out, t)
		},
	}
}

func readLogs(in io.Reader, files []string) ([]wasabitrace.Line, error) {
	if len(files) == 0 {
		log, _, err := wasabitrace.Read(in)
		return log, err
	}
	var all []wasabitrace.Line
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		log, _, err := wasabitrace.Read(f)
		if err = errors.Join(err, f.Close()); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		all = append(all, log...)
	}
	return all, nil
}

func printTrace(out io.Writer, t wasabitrace.Trace) error {
	var b strings.Builder
	if len(t.StateChanges) > 0 {
		b.WriteString("What its processes believed\n")
		for _, l := range t.StateChanges {
			fmt.Fprintln(&b, " ", l.Text)
		}
	}
	b.WriteString("The request\n")
	for _, l := range t.Request {
		fmt.Fprintln(&b, " ", l.Text)
	}
	fmt.Fprintf(&b, "Cause: %s\n", t.Cause())
	_, err := io.WriteString(out, b.String())
	return err
}
