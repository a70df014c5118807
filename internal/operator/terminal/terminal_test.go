package terminal_test

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/endivespoke/endivespoke/internal/operator/terminal"
)

// TestExitCodes checks the documented exit codes and the output of commands that need
// no running VM.
func TestExitCodes(t *testing.T) {
	cases := map[string]struct {
		arguments []string
		in        string
		code      int
		output    string
	}{
		"version":              {[]string{"version"}, "", 0, "endivespoke"},
		"help has examples":    {[]string{"--help"}, "", 0, "endivespoke config publish"},
		"unknown command":      {[]string{"destroy"}, "", 2, "destroy"},
		"valid configuration":  {[]string{"config", "check", "../../../examples/consorzio.json"}, "", 0, "valid"},
		"valid as JSON":        {[]string{"config", "check", "--output", "json", "../../../examples/consorzio.json"}, "", 0, `"valid":true`},
		"broken reference":     {[]string{"config", "check", "-"}, `{"models":[{"name":"a","version":"b"}]}`, 3, `models[0].version: no object named "b"`},
		"unknown field":        {[]string{"config", "check", "-"}, `{"model":[]}`, 3, "unknown field"},
		"no such file":         {[]string{"config", "check", "nothing.json"}, "", 2, "no such file"},
		"all settings at once": {[]string{"serve", "--id", "vm 1", "--failure-domain", "d", "--platform", "x", "--peer-key", "k"}, "", 2, "ENDIVESPOKE_PLATFORM"},
		"VM does not answer":   {[]string{"status", "--operator", "http://127.0.0.1:1"}, "", 1, "refused"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			code := terminal.Run(test.arguments, strings.NewReader(test.in), &out, &errOut)
			qt.Assert(t, code, qt.Equals, test.code, qt.Commentf("%s%s", out.String(), errOut.String()))
			qt.Assert(t, out.String()+errOut.String(), qt.Contains, test.output)
		})
	}
}
