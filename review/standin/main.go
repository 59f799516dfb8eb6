// Command standin plays the cases of the review against the project's own
// programs, with stand-ins for clients, workers, the platform and the operator.
package main

import (
	"errors"
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errBroken reports that a rule was broken.
var errBroken = errors.New("rule broken")

// cases holds the cases by name. Their files add them.
var cases = map[string]func(r *record, trouble bool) error{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, path string) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	err = cases[name](r, os.Getenv("TROUBLE") != "0")
	switch {
	case err == nil:
		r.printf("result: the rule held")
		fmt.Println("the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		r.printf("result: %v", err)
		fmt.Println(err)
		return exitBroken
	default:
		r.printf("result: not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	}
}
