// Package rescue runs work beside its caller so that an unexpected error in it ends that
// work alone and not the process, which serves hundreds of other requests.
//
// # Usage
//
//	rescue.Go(logger, "check of a backend server", func() { ... })
//
// What waits for the work must have a time limit of its own. Parts that run as long as
// the process does belong to its supervisor instead, which starts them again.
package rescue

import (
	"fmt"
	"runtime/debug"

	"github.com/hashicorp/go-hclog"

	"github.com/endivespoke/endivespoke/internal/node/event"
)

// Go runs do on a goroutine of its own.
func Go(logger hclog.Logger, part string, do func()) {
	go func() {
		defer catch(logger, part)
		do()
	}()
}

func catch(logger hclog.Logger, part string) {
	if cause := recover(); cause != nil {
		event.PartFailed.Warn(logger, "part", part, "cause", fmt.Sprint(cause), "stack", string(debug.Stack()))
	}
}
