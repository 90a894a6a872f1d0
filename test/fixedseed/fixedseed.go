// Package fixedseed gives the property tests (pgregory.net/rapid) the same seed in each
// run. A test file that uses rapid imports it for its side effect.
//
// The flag -rapid.seed and the variable RAPID_SEED still set another seed; 0 selects a
// random one in each run.
package fixedseed

import (
	"flag"
	"os"

	// The flag must be registered before this package is initialised.
	_ "pgregory.net/rapid"
)

const (
	// seed is arbitrary.
	seed     = "1"
	seedFlag = "rapid.seed"
	// seedVariable is read by rapid as the default of the flag.
	seedVariable = "RAPID_SEED"
)

// init runs before the command line is parsed, so a seed given there replaces this one.
func init() {
	if _, given := os.LookupEnv(seedVariable); given {
		return
	}
	if err := flag.Set(seedFlag, seed); err != nil {
		panic(err)
	}
}
