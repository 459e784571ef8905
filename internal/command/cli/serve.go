package cli

import (
	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	settings "github.com/geraniumdeck/geraniumdeck/internal/settings/yaml"
)

const serveHelp = `Run the roles which the settings give to a VM, until SIGTERM.

The first SIGTERM drains: not ready, no new work, running answers finish. A second one ends at once.

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
		return exit(ExitUsage, err)
	}
	_ = s
	return exit(ExitFailed, errors.Newf("VM %q: not wired", name))
}
