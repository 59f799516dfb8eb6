// Command wasabistand runs a node or a control instance, the demonstration and
// the measurements, and sends operators' commands.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/wasabistand/wasabistand/wasabibench"
	"github.com/wasabistand/wasabistand/wasabicommand"
	"github.com/wasabistand/wasabistand/wasabidaemon"
	"github.com/wasabistand/wasabistand/wasabidemo"
)

func main() {
	os.Exit(run(context.Background(), os.Args[1:]))
}

func subcommands() []*ffcli.Command {
	list := append(wasabidaemon.New(os.Stderr), wasabicommand.New(os.Stdout)...)
	return append(list, wasabidemo.New(os.Stdout), wasabibench.New(os.Stdout, os.Stderr))
}

func run(ctx context.Context, args []string) int {
	root := &ffcli.Command{
		Name:        "wasabistand",
		ShortUsage:  "wasabistand COMMAND [flags] ...",
		ShortHelp:   "overload control for service call graphs",
		LongHelp:    wasabicommand.ExitCodes,
		FlagSet:     flag.NewFlagSet("wasabistand", flag.ContinueOnError),
		Subcommands: subcommands(),
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return wasabicommand.UnknownCommand(args[0])
			}
			return flag.ErrHelp
		},
	}
	err := root.ParseAndRun(ctx, args)
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "wasabistand:", err)
	}
	return wasabicommand.ExitCode(err)
}
