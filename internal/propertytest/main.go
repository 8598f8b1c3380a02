// Package propertytest runs the tests of a package that has property tests.
package propertytest

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// seed is the seed of all property tests, so that runs are reproducible.
const seed = "20261204"

// Main sets the seed and the number of checks of each property test, unless the
// command line sets them, and runs the tests. Call it from TestMain.
func Main(m *testing.M, checks int) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.checks": strconv.Itoa(checks), "rapid.nofailfile": "true"} {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
