package service_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/backend/service"
)

// TestStatusWithoutAMeaningIsNoAnswer guards against a status of 000 that is passed on.
func TestStatusWithoutAMeaningIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "099"} {
		reply, err := callWithUpload(t, "HTTP/1.1 "+status+" Odd\r\nContent-Length: 0\r\n\r\n")
		qt.Check(t, errors.Is(err, service.ErrOutcomeUnknown), qt.IsTrue, qt.Commentf("status %d, error %v", reply.Status, err))
	}
}
