package cli

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/geraniumdeck/geraniumdeck/internal/api/operator"
)

const stateHelp = `Show the state of the system: replicated log, VMs, data centres, backend servers, models and placement leaders.

Example: geraniumdeck state -a 10.21.1.1:8082`

func (c *config) addState(app *kingpin.Application) {
	cmd := app.Command("state", stateHelp)
	c.addConnectionFlags(cmd)
	c.addJSONFlag(cmd)
	cmd.Action(func(*kingpin.ParseContext) error { return c.state() })
}

func (c *config) state() error {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	var data []byte
	err := c.callAny(ctx, func(ctx context.Context, cl operator.Client) error {
		var err error
		data, err = cl.StateJSON(ctx)
		return err
	})
	if err != nil {
		return err
	}
	if !c.json {
		return operator.WriteStateText(c.stdout, data)
	}
	_, err = c.stdout.Write(append(data, '\n'))
	return err
}
