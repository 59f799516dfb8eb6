// Command standin2 plays one case of the review: it starts the project's programs, and
// plays the clients, the workers, the operators and the platform around them.
package main

import (
	"fmt"
	"os"
	"sort"
	"time"
)

// cases are the cases by name. Each judges its rule with lab.fail.
var cases = map[string]func(l *lab) error{}

// maxTime bounds a run.
const maxTime = 110 * time.Second

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		var names []string
		for n := range cases {
			names = append(names, n)
		}
		sort.Strings(names)
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE ROOT RECORD; cases:", names)
		os.Exit(2)
	}
	l, err := newLab(os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	done := make(chan error, 1)
	go func() { done <- cases[os.Args[1]](l) }()
	select {
	case err = <-done:
	case <-time.After(maxTime):
		err = fmt.Errorf("the case takes longer than %v", maxTime)
	}
	l.mu.Lock()
	broken := l.broken
	l.mu.Unlock()
	if err != nil {
		l.logf("the case could not run: %v", err)
	}
	l.logf("%d times broken", len(broken))
	l.close()
	switch {
	case err != nil:
		fmt.Println("could not run:", err)
		os.Exit(2)
	case len(broken) > 0:
		for _, b := range broken[:min(len(broken), 5)] {
			fmt.Println("broken:", b)
		}
		os.Exit(1)
	}
	fmt.Println("held")
}
