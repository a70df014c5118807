// Package terminal implements the command line of endivespoke.
//
// # Usage
//
//	os.Exit(terminal.Run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
//
// Exit codes: 0 success; 1 refused or failed; 2 invalid usage or settings; 3 invalid
// configuration; 4 another operator published first; 5 outcome unknown.
package terminal

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/node/event"
	"github.com/endivespoke/endivespoke/internal/node/settings"
	"github.com/endivespoke/endivespoke/internal/node/signals"
	"github.com/endivespoke/endivespoke/internal/node/vm"
)

// The exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitInvalid  = 3
	exitConflict = 4
	exitUnknown  = 5
)

// Version is set by the linker for released builds.
var Version = "development"

// exitError carries an exit code with its message.
type exitError struct {
	code    int
	message string
}

func (e *exitError) Error() string {
	return e.message
}

func exit(code int, format string, values ...any) error {
	return &exitError{code: code, message: fmt.Sprintf(format, values...)}
}

// commands is the whole command line.
type commands struct {
	Serve    serveCommand    `cmd:"" help:"Run one entry VM. Stops gracefully on SIGTERM."`
	Entry    entryCommand    `cmd:"" help:"Run one entry VM on the users' platform. Stops gracefully on SIGTERM."`
	Settings settingsCommand `cmd:"" help:"Check a settings file of the users' platform."`
	Explain  explainCommand  `cmd:"" help:"Show the timeline of one request, or of a roll-out, from the VMs' logs on standard input."`
	Config   configCommand   `cmd:"" help:"Check, publish and show configurations."`
	Status   statusCommand   `cmd:"" help:"Show one VM's view of the system."`
	Locate   locateCommand   `cmd:"" help:"List the VMs to use."`
	Generate generateCommand `cmd:"" help:"Request a generation and print it as it is streamed."`
	Call     callCommand     `cmd:"" help:"Call a plain service."`
	Version  versionCommand  `cmd:"" help:"Print the version."`
}

// terminal has the standard streams of a command.
type terminal struct {
	in  io.Reader
	out io.Writer
	err io.Writer
}

const description = `Serves long generations on engines that fail.

Examples:
  endivespoke config check examples/villarreal.json
  endivespoke config publish examples/villarreal.json --base 3
  endivespoke generate --entry http://10.0.0.1:8080 --model drafting "Crew plan for job 17"
  endivespoke status --output json
  endivespoke explain 9c41d07be2a35f68 < vms.log
  endivespoke explain --rollout booking < vms.log

Exit codes: 0 success, 1 refused or failed, 2 invalid usage or settings,
3 invalid configuration, 4 another operator published first, 5 outcome unknown.`

// Run runs one command and returns its exit code.
func Run(arguments []string, in io.Reader, out, errOut io.Writer) int {
	var cli commands
	code := -1
	parser, err := kong.New(&cli,
		kong.Name("endivespoke"),
		kong.Description(description),
		kong.UsageOnError(),
		kong.Writers(out, errOut),
		kong.Exit(func(status int) { code = status }),
	)
	if err != nil {
		fmt.Fprintln(errOut, "endivespoke:", err)
		return exitUsage
	}
	parsed, err := parser.Parse(arguments)
	if code >= 0 {
		return code // Help was printed.
	}
	if err != nil {
		fmt.Fprintln(errOut, "endivespoke:", err)
		return exitUsage
	}
	return report(parsed.Run(&terminal{in: in, out: out, err: errOut}), errOut)
}

func report(err error, errOut io.Writer) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(errOut, "endivespoke:", err)
	var typed *exitError
	if errors.As(err, &typed) {
		return typed.code
	}
	return exitFailed
}

type serveCommand struct {
	settings.Serve
}

// Run serves until SIGTERM or SIGINT.
func (c *serveCommand) Run(t *terminal) error {
	caught := signals.Catch()
	checked, faults := c.Check()
	if len(faults) > 0 {
		for _, fault := range faults {
			fmt.Fprintln(t.err, fault)
		}
		return exit(exitUsage, "%d settings are wrong", len(faults))
	}
	logger := hclog.New(&hclog.LoggerOptions{
		Name:       "endivespoke",
		Level:      hclog.LevelFromString(checked.LogLevel),
		JSONFormat: checked.LogJSON,
		Output:     t.err,
	})
	go ignoreHangups(caught.Hangups, logger)
	machine, err := vm.New(checked, logger)
	if err != nil {
		return exit(exitUsage, "%v", err)
	}
	return machine.Serve(caught.Stopping())
}

// ignoreHangups logs each SIGHUP. The settings of this command are its flags and environment, which
// a running process can't read again.
func ignoreHangups(hangups <-chan os.Signal, logger hclog.Logger) {
	for range hangups {
		event.HangupIgnored.Info(logger)
	}
}

type versionCommand struct{}

// Run prints the version.
func (c *versionCommand) Run(t *terminal) error {
	_, err := fmt.Fprintln(t.out, "endivespoke", Version)
	return err
}
