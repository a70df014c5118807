package terminal

import (
	"fmt"

	"github.com/endivespoke/endivespoke/internal/node/signals"
	"github.com/endivespoke/endivespoke/internal/operator/explain"
	"github.com/endivespoke/endivespoke/platform"
)

type entryCommand struct {
	SettingsFile string `help:"Settings file; the path that the platform sets if empty." env:"ENDIVESPOKE_SETTINGS_FILE"`
	MetricsPort  int    `help:"Port for metrics at the VM's own address, path /metrics; 0 for none." env:"ENDIVESPOKE_METRICS_PORT" default:"9464"`
	PeerListen   string `help:"IP:PORT to listen on for other VMs, if it differs from the address in the settings." env:"ENDIVESPOKE_PEER_LISTEN"`
	LogLevel     string `help:"One of trace, debug, info, warn, error." env:"ENDIVESPOKE_LOG_LEVEL" default:"info" enum:"trace,debug,info,warn,error"`
}

// Run serves until SIGTERM or SIGINT.
func (c *entryCommand) Run(t *terminal) error {
	caught := signals.Catch()
	options := platform.Options{SettingsPath: c.SettingsFile, LogLevel: c.LogLevel, MetricsPort: c.MetricsPort, PeerListen: c.PeerListen, Output: t.out, Hangups: caught.Hangups}
	if options.SettingsPath == "" {
		options.SettingsPath = platform.SettingsPath()
	}
	faults, err := platform.CheckSettings(options.SettingsPath)
	if err != nil || len(faults) > 0 {
		return reportSettings(t, faults, err)
	}
	return platform.Serve(caught.Stopping(), options)
}

type settingsCommand struct {
	Check settingsCheckCommand `cmd:"" help:"Check a settings file and list all faults."`
}

type settingsCheckCommand struct {
	File string `arg:"" help:"Settings file, JSON."`
}

// Run checks a settings file.
func (c *settingsCheckCommand) Run(t *terminal) error {
	faults, err := platform.CheckSettings(c.File)
	if err != nil || len(faults) > 0 {
		return reportSettings(t, faults, err)
	}
	_, err = fmt.Fprintln(t.out, c.File, "is right")
	return err
}

func reportSettings(t *terminal, faults []string, err error) error {
	if err != nil {
		return exit(exitUsage, "%v", err)
	}
	for _, fault := range faults {
		fmt.Fprintln(t.err, fault)
	}
	return exit(exitUsage, "%d settings are wrong", len(faults))
}

type explainCommand struct {
	Request string `arg:"" optional:"" help:"Id of the request."`
	Rollout string `help:"Explain the newest roll-out of this service instead."`
}

// Run prints the timeline of a request or of a roll-out, and the cause of its outcome.
func (c *explainCommand) Run(t *terminal) error {
	if (c.Request == "") == (c.Rollout == "") {
		return exit(exitUsage, "either the id of a request or --rollout with a service is needed")
	}
	if c.Rollout != "" {
		found, err := explain.ReadRollout(t.in, c.Rollout)
		if err != nil {
			return exit(exitFailed, "%v", err)
		}
		return found.Print(t.out)
	}
	found, err := explain.Read(t.in, c.Request)
	if err != nil {
		return exit(exitFailed, "%v", err)
	}
	return found.Print(t.out)
}
