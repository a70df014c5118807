// Command endivespoke runs an entry VM, which serves long generations on engines that
// may fail, and has the commands for operators and callers.
package main

import (
	"os"

	"github.com/endivespoke/endivespoke/internal/operator/terminal"
)

func main() {
	os.Exit(terminal.Run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
