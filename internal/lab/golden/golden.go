// Package golden compares the output of a test with a golden file.
//
// # Usage
//
//	golden.Compare(t, "testdata/faults.golden", got)
//
// `go test -run Golden -update` (or `make golden`) rewrites the files.
package golden

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// Compare fails the test if got differs from the file's content.
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
