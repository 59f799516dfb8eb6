// Command standin3 plays the platform, an operator, clients and a worker around control
// instances and nodes that run as processes on loopback addresses. A scenario disturbs
// them and checks one rule.
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
	scenario := flag.String("scenario", "", "removed, forgotten, broken or left")
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
	play := map[string]func(context.Context, *deployment, bool) (bool, error){
		"removed": playRemoved, "forgotten": playForgotten, "broken": playBroken, "left": playLeft,
	}[scenario]
	if play == nil {
		r.printf("could not run: scenario %q, allowed are removed, forgotten, broken and left", scenario)
		return exitNotRun
	}
	r.printf("scenario %s, trouble %t", scenario, trouble)
	held, err := play(ctx, d, trouble)
	if err == nil && !held {
		err = ctx.Err()
	}
	switch {
	case err != nil:
		r.printf("could not run: %v", err)
		return exitNotRun
	case !held:
		return exitBroken
	}
	return exitHeld
}
