// Command endivespoke-lab has the stand-ins for engines, plain services and the
// platform, and the tools that load and measure a system.
package main

import (
	"os"

	"github.com/endivespoke/endivespoke/internal/lab/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
}
