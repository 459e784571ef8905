package cli

import (
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	settings "github.com/geraniumdeck/geraniumdeck/internal/settings/yaml"
)

const checkHelp = `Check a settings file. Each error is printed with the file, the line and the expected value.

Example: geraniumdeck check deployment.yaml`

func (c *config) addCheck(app *kingpin.Application) {
	var file string
	cmd := app.Command("check", checkHelp)
	cmd.Arg("file", "Settings file in YAML.").Required().StringVar(&file)
	cmd.Action(func(*kingpin.ParseContext) error { return c.check(file) })
}

func (c *config) check(file string) error {
	s, err := settings.Read(file)
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	fmt.Fprintf(c.stdout, "%s: valid, %d VMs, %d with role control\n", file, len(s.VMs), len(s.ControlVMs()))
	return nil
}
