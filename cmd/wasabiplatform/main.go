// Command wasabiplatform runs wasabistand on the platform of its users.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/wasabistand/wasabistand/platform"
)

func main() {
	if err := platform.Commands(os.Stdout).ParseAndRun(context.Background(), os.Args[1:]); err != nil {
		if !errors.Is(err, flag.ErrHelp) {
			fmt.Fprintln(os.Stderr, "wasabiplatform:", err)
		}
		os.Exit(2)
	}
}
