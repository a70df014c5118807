package settings_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/endivespoke/endivespoke/internal/lab/golden"
	"github.com/endivespoke/endivespoke/internal/node/settings"
)

// TestFaultsGolden sets invalid values and checks that all faults are reported at once,
// each with its flag, variable, value and what is allowed, and without secrets.
func TestFaultsGolden(t *testing.T) {
	_, faults := settings.Serve{
		ID:               "vm 1",
		FailureDomain:    "",
		CallerListen:     "localhost:8080",
		CallerAddress:    "10.0.0.1",
		PeerListen:       ":8081",
		PeerAddress:      "vm.example:1",
		OperatorListen:   "nonsense",
		Platform:         "10.0.0.9:7000",
		PeerKey:          "c2hvcnQgc2VjcmV0",
		BootstrapHash:    "abc",
		Grace:            "soon",
		LeaveWait:        "-1s",
		DrainLimit:       "15",
		TLSCertificate:   "certificate.pem",
		MemoryMB:         "63",
		MaxDescriptors:   "many",
		LogLevel:         "loud",
		TraceEndpoint:    "collector",
		BaselineRecovery: "some",
	}.Check()
	lines := []string{}
	for _, fault := range faults {
		lines = append(lines, fault.String())
	}
	got := strings.Join(lines, "\n") + "\n"
	golden.Compare(t, "testdata/faults.golden", got)
	qt.Assert(t, strings.Contains(got, "c2hvcnQ"), qt.IsFalse)
}
