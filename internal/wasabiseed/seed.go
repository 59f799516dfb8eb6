// Package wasabiseed sets a fixed seed for the property tests of packages that
// import it, so that every run has the same result. The flag -rapid.seed
// overrides the seed.
package wasabiseed

import (
	"flag"

	// The import registers the flag, which must happen before it is set.
	_ "pgregory.net/rapid"
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
