// Package property supports property-based tests with rapid: a fixed seed makes them
// generate the same values in every run, so that CI results are reproducible, and Assert
// uses the checkers of quicktest.
//
// # Usage
//
//	func init() { property.FixSeed() } // in a test file of a package with rapid tests
//
//	rapid.Check(t, func(t *rapid.T) {
//		property.Assert(t, got, qt.Equals, want)
//	})
//
// To try other values, pass another seed: go test ./internal/... -rapid.seed=7
package property

import (
	"flag"
	"fmt"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// FixSeed sets rapid's seed and turns off its fail files. A seed on the command line
// overrides this one, since flags are parsed later.
func FixSeed() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err) // Cannot happen: the import of rapid registers the flag.
	}
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		panic(err)
	}
}

// Assert is qt.Assert for rapid's T, which is not a testing.TB.
func Assert(t *rapid.T, got any, checker qt.Checker, arguments ...any) {
	notes := ""
	note := func(key string, value any) { notes += fmt.Sprintf("\n%s: %v", key, value) }
	if err := checker.Check(got, arguments, note); err != nil {
		t.Fatalf("%v\ngot: %v\narguments: %v%s", err, got, arguments, notes)
	}
}
