// Package rescue runs background tasks and recovers from their panics, so that a panic ends
// only its task and not the process, which serves hundreds of other requests.
//
// # Usage
//
//	rescue.Go(logger, "check of a backend server", func() { ... })
//
// Code that waits for a task must have its own timeout. Services that run as long as the
// process belong to its supervisor instead, which restarts them.
package rescue

import (
	"fmt"
	"runtime/debug"

	"github.com/hashicorp/go-hclog"

	"github.com/endivespoke/endivespoke/internal/node/event"
)

// Go runs do on a new goroutine. A panic in it is logged under the name of the task.
func Go(logger hclog.Logger, task string, do func()) {
	go func() {
		defer catch(logger, task)
		do()
	}()
}

func catch(logger hclog.Logger, task string) {
	if cause := recover(); cause != nil {
		event.PartFailed.Warn(logger, "part", task, "cause", fmt.Sprint(cause), "stack", string(debug.Stack()))
	}
}
