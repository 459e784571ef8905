package cli

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/api/operator"
	"github.com/geraniumdeck/geraniumdeck/internal/report/burn"
)

const burnHelp = `Show how fast each class of requests consumes its error budget, over all VMs that answer.

A burn rate of 1 consumes the budget exactly. VMs that don't answer are named on standard error.

Example: geraniumdeck burn -s deployment.yaml --json`

func (c *config) addBurn(app *kingpin.Application) {
	cmd := app.Command("burn", burnHelp)
	c.addConnectionFlags(cmd)
	c.addJSONFlag(cmd)
	cmd.Action(func(*kingpin.ParseContext) error { return c.burn() })
}

func (c *config) burn() error {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	clients, err := c.clients()
	if err != nil {
		return err
	}
	var reports []burn.Report
	for _, cl := range clients {
		var r burn.Report
		err := c.callOne(ctx, cl, c.perVMTimeout(len(clients)), func(ctx context.Context, cl operator.Client) error {
			var err error
			r, err = cl.BurnReport(ctx)
			return err
		})
		if err != nil {
			fmt.Fprintf(c.stderr, "geraniumdeck: not included: %v\n", err)
			continue
		}
		reports = append(reports, r)
	}
	if len(reports) == 0 {
		return withExitCode(ExitUnreachable, errors.New("no VM answered"))
	}
	all := burn.Merge(reports...)
	if c.json {
		return c.printJSON(operator.BurnDocument(all))
	}
	return all.WriteText(c.stdout)
}
