package cli

import (
	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/command/process"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/report/telemetry"
	settings "github.com/geraniumdeck/geraniumdeck/internal/settings/yaml"
)

const serveHelp = `Run the roles that the settings assign to a VM, until SIGTERM.

The first SIGTERM drains: the VM reports that it is not ready, refuses new calls and finishes
running ones. A second SIGTERM ends the process at once.

Example: geraniumdeck serve -s deployment.yaml --vm graz-a-1`

func (c *config) addServe(app *kingpin.Application) {
	var vm string
	cmd := app.Command("serve", serveHelp)
	cmd.Flag("settings", "Settings file.").Short('s').Required().StringVar(&c.settingsFile)
	cmd.Flag("vm", "Name of the VM that this process runs on.").Required().StringVar(&vm)
	cmd.Action(func(*kingpin.ParseContext) error { return c.serve(vm) })
}

func (c *config) serve(name string) error {
	s, err := settings.Read(c.settingsFile)
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	vm, ok := s.VM(deck.VMName(name))
	if !ok {
		return withExitCode(ExitUsage, errors.Newf("%s: no VM %q is listed under vms", c.settingsFile, name))
	}
	log := telemetry.NewLogger(c.stderr, vm.Name)
	p, err := process.New(s, vm, log)
	if err != nil {
		return withExitCode(ExitFailed, err)
	}
	log.Info("started", "data-centre", string(vm.DataCentre))
	stop, kill, release := signalContexts(s.Limits.DrainTimeout)
	defer release()
	err = p.Run(stop, kill)
	log.Info("stopped")
	return withExitCode(ExitFailed, err)
}
