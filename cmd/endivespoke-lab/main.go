// Command endivespoke-lab has simulators of engines, plain services and the
// platform, and tools for load tests and measurements.
package main

import (
	"os"

	"github.com/endivespoke/endivespoke/internal/lab/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
}
