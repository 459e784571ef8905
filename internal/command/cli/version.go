package cli

import (
	"fmt"
	"runtime"
	"runtime/debug"

	"github.com/alecthomas/kingpin/v2"
)

// Version is the version of the release.
const Version = "0.1.0"

const versionHelp = `Show the version.

Example: geraniumdeck version`

func (c *config) addVersion(app *kingpin.Application) {
	cmd := app.Command("version", versionHelp)
	cmd.Action(func(*kingpin.ParseContext) error { return c.version() })
}

func (c *config) version() error {
	revision := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = s.Value
			}
		}
	}
	_, err := fmt.Fprintf(c.stdout, "geraniumdeck %s, revision %s, %s\n", Version, revision, runtime.Version())
	return err
}
