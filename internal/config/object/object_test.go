package object_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/endivespoke/endivespoke/internal/config/object"
	"github.com/endivespoke/endivespoke/internal/lab/golden"
)

// TestCheckGolden checks invalid configurations. The expected faults of each input
// are in the golden file of the same name.
func TestCheckGolden(t *testing.T) {
	inputs, err := filepath.Glob("testdata/*.json")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(inputs) > 0, qt.IsTrue)
	for _, input := range inputs {
		t.Run(filepath.Base(input), func(t *testing.T) {
			golden.Compare(t, strings.TrimSuffix(input, ".json")+".golden", faultsOf(t, input))
		})
	}
}

func faultsOf(t *testing.T, file string) string {
	body, err := os.ReadFile(file)
	qt.Assert(t, err, qt.IsNil)
	set, err := object.Parse(body)
	if err != nil {
		return "not read: " + err.Error() + "\n"
	}
	lines := []string{}
	for _, fault := range object.Check(set) {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n") + "\n"
}

func TestExamplesAreValid(t *testing.T) {
	for _, name := range []string{"villarreal", "consorzio"} {
		body, err := os.ReadFile("../../../examples/" + name + ".json")
		qt.Assert(t, err, qt.IsNil)
		set, err := object.Parse(body)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, object.Check(set), qt.HasLen, 0)
	}
}

func TestHashDependsOnContent(t *testing.T) {
	a := object.Set{Models: []object.Model{{Name: "a", Version: "v"}}}
	b := a
	qt.Assert(t, object.Hash(a), qt.Equals, object.Hash(b))
	b.Profile = object.ProfileResourceUse
	qt.Assert(t, object.Hash(a), qt.Not(qt.Equals), object.Hash(b))
}

func TestDiffReturnsPaths(t *testing.T) {
	before := object.Set{Models: []object.Model{{Name: "a", Version: "v"}, {Name: "gone", Version: "v"}}}
	after := object.Set{Profile: object.ProfileResourceUse, Models: []object.Model{{Name: "a", Version: "w"}, {Name: "new", Version: "v"}}}
	paths := []string{}
	for _, change := range object.Diff(before, after) {
		paths = append(paths, change.Path)
	}
	qt.Assert(t, paths, qt.DeepEquals, []string{"models/a", "models/gone", "models/new", "profile"})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"models":[{"name":"a","version":"v"}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		set, err := object.Parse(body)
		if err != nil {
			return
		}
		object.Check(set)
		again, err := object.Parse(object.Encode(set))
		if err != nil || object.Hash(again) != object.Hash(set) {
			t.Fatalf("a parsed configuration does not survive encoding: %v", err)
		}
	})
}
