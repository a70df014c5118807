// Command endivespoke serves long generations on engines that fail, and lets
// operators and callers drive the system.
package main

import (
	"os"

	"github.com/endivespoke/endivespoke/internal/operator/terminal"
)

func main() {
	os.Exit(terminal.Run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
