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

// Main fixes the seed and the number of checks of each property test and runs
// the tests. Call it from TestMain.
func Main(m *testing.M, checks int) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.checks": strconv.Itoa(checks), "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
