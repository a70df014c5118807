// Package golden compares what a test got with a file beside it.
//
// # Usage
//
//	golden.Compare(t, "testdata/faults.golden", got)
//
// `go test -run Golden -update` (or `make golden`) writes the files anew.
package golden

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

var update = flag.Bool("update", false, "write the golden files anew")

// Compare fails the test if the file's content is not what the test got.
func Compare(t testing.TB, file, got string) {
	t.Helper()
	if *update {
		qt.Assert(t, os.MkdirAll(filepath.Dir(file), 0o755), qt.IsNil)
		qt.Assert(t, os.WriteFile(file, []byte(got), 0o644), qt.IsNil)
	}
	want, err := os.ReadFile(file)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.Equals, string(want))
}
