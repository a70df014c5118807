// Package property helps property tests: it makes them draw the same values in
// every run, so that CI gives the same verdict each time, and lets them assert
// with the checkers of quicktest.
//
// # Usage
//
//	func init() { property.FixSeed() } // in a test file of a package with rapid tests
//
//	rapid.Check(t, func(t *rapid.T) {
//		property.Assert(t, got, qt.Equals, want)
//	})
//
// To explore, pass another seed: go test ./internal/... -rapid.seed=7
package property

import (
	"flag"
	"fmt"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// FixSeed sets rapid's seed. A seed on the command line goes before it, since flags
// are parsed later.
func FixSeed() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err) // The flag is registered by the import above.
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
