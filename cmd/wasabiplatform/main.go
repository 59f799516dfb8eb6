// Command wasabiplatform runs wasabistand on the platform of its users.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/wasabistand/wasabistand/internal/soak/wasabisoak"
	"github.com/wasabistand/wasabistand/platform"
)

func main() {
	if err := platform.Commands(os.Stdout).ParseAndRun(context.Background(), os.Args[1:]); err != nil {
		if !errors.Is(err, flag.ErrHelp) {
			fmt.Fprintln(os.Stderr, "wasabiplatform:", err)
		}
		if errors.Is(err, wasabisoak.ErrBroken) {
			os.Exit(1)
		}
		os.Exit(2)
	}
}
