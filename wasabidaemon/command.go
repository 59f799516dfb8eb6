// Package wasabidaemon builds a node or a control instance from its settings
// file and runs it until a signal arrives. It decides which setting is passed to
// which component.
package wasabidaemon

import (
	"context"
	"flag"
	"io"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/wasabicommand"
	"github.com/wasabistand/wasabistand/wasabiprocess"
	"github.com/wasabistand/wasabistand/wasabisettings"
)

// New returns the node and control commands, which log to out.
func New(out io.Writer) []*ffcli.Command {
	return []*ffcli.Command{
		command("node", "run the node of an upstream instance", func(ctx context.Context, file string) error {
			s, err := wasabisettings.LoadNode(file)
			if err != nil {
				return err
			}
			log := wasabiprocess.NewLogger(out, "node", s.Instance)
			return wasabiprocess.Run(ctx, log, NewNode(s, log))
		}),
		command("control", "run a control instance", func(ctx context.Context, file string) error {
			s, err := wasabisettings.LoadControl(file)
			if err != nil {
				return err
			}
			log := wasabiprocess.NewLogger(out, "control", s.Instance)
			return wasabiprocess.Run(ctx, log, NewControl(s, log))
		}),
	}
}

func command(name, help string, run func(ctx context.Context, file string) error) *ffcli.Command {
	f := flag.NewFlagSet("wasabistand "+name, flag.ContinueOnError)
	file := f.String("settings", "", "settings file")
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "wasabistand " + name + " -settings FILE",
		ShortHelp:  help,
		LongHelp:   "SIGTERM or SIGINT stops gracefully, a second signal stops at once.",
		FlagSet:    f,
		Options:    []ff.Option{ff.WithEnvVarPrefix(wasabicommand.EnvPrefix)},
		Exec: func(ctx context.Context, args []string) error {
			switch {
			case *file == "":
				return wasabistand.ErrInvalid.New("-settings: missing, allowed is the path of a settings file")
			case len(args) > 0:
				return wasabistand.ErrInvalid.New("argument %q: none is allowed", args[0])
			}
			return run(ctx, *file)
		},
	}
}
