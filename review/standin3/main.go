// Command standin3 plays the platform and an operator around control instances that run
// as processes on loopback addresses. It stops, kills and replaces instances as a
// scenario says, and checks that the configuration that was acknowledged last is read
// back after the loss of two disks.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a scenario.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// limit bounds a whole scenario.
const limit = 110 * time.Second

func main() {
	program := flag.String("program", "target/wasabiplatform", "program of the deploy file")
	scenario := flag.String("scenario", "", "removed or forgotten")
	path := flag.String("record", "record.txt", "file for what was sent, answered and done")
	flag.Parse()
	os.Exit(run(*program, *scenario, *path, os.Getenv("TROUBLE") != "0"))
}

// run plays a scenario and returns the exit code.
func run(program, scenario, path string, trouble bool) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	r, err := newRecorder(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	d, err := newDeployment(program, r)
	if err != nil {
		r.printf("could not run: %v", err)
		return exitNotRun
	}
	defer d.close()
	play := map[string]func(context.Context, *deployment, bool) error{"removed": playRemoved, "forgotten": playForgotten}[scenario]
	if play == nil {
		r.printf("could not run: scenario %q, allowed are removed and forgotten", scenario)
		return exitNotRun
	}
	r.printf("scenario %s, trouble %t", scenario, trouble)
	if err := play(ctx, d, trouble); err != nil {
		r.printf("could not run: %v", err)
		return exitNotRun
	}
	if !d.checkReadBack(ctx) {
		if ctx.Err() != nil {
			r.printf("could not run: %v", ctx.Err())
			return exitNotRun
		}
		return exitBroken
	}
	return exitHeld
}
