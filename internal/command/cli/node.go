package cli

import (
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/command/node"
	settings "github.com/geraniumdeck/geraniumdeck/internal/settings/node"
	"github.com/geraniumdeck/geraniumdeck/platform"
)

const nodeHelp = `Run one VM's process on the users' platform, until SIGTERM.

Without --settings, the platform's environment variable names the settings file.

Example: geraniumdeck node entry -s node.yaml`

func (c *config) addNode(app *kingpin.Application) {
	var role string
	cmd := app.Command("node", nodeHelp)
	cmd.Flag("settings", "Settings file of this process.").Short('s').Envar(platform.SettingsVariable).
		StringVar(&c.settingsFile)
	cmd.Arg("role", "Role of the process: entry or control.").Required().
		EnumVar(&role, string(node.Entry), string(node.Control))
	cmd.Action(func(*kingpin.ParseContext) error { return c.node(node.Role(role)) })
}

func (c *config) node(role node.Role) error {
	if c.settingsFile == "" {
		return withExitCode(ExitUsage, errors.Newf("--settings or %s is required", platform.SettingsVariable))
	}
	s, err := settings.Read(c.settingsFile)
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	if role == node.Control && s.DataFolder == "" {
		return withExitCode(ExitUsage, errors.New("data-folder is required for the role control"))
	}
	n, err := node.New(c.settingsFile, s, role)
	if err != nil {
		return withExitCode(ExitFailed, err)
	}
	stop, kill, release := signalContexts(max(s.Bounds.GracePeriod-100*time.Millisecond, 0))
	defer release()
	return withExitCode(ExitFailed, n.Run(stop, kill))
}
