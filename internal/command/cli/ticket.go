package cli

import (
	"context"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/api/operator"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const ticketHelp = `Show the outcome of a ticket and the VMs on which it is in force.

Example: geraniumdeck ticket -s deployment.yaml --json 17`

func (c *config) addTicket(app *kingpin.Application) {
	var number uint64
	cmd := app.Command("ticket", ticketHelp)
	c.addConnectionFlags(cmd)
	c.addJSONFlag(cmd)
	cmd.Arg("number", "Ticket number.").Required().Uint64Var(&number)
	cmd.Action(func(*kingpin.ParseContext) error { return c.ticket(number) })
}

func (c *config) ticket(number uint64) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	var s deck.TicketStatus
	err := c.callAny(ctx, func(ctx context.Context, cl operator.Client) error {
		var err error
		s, err = cl.TicketStatus(ctx, number)
		return err
	})
	if err != nil {
		return err
	}
	if err := c.printStatus(s); err != nil {
		return err
	}
	if s.Answer.Verdict != deck.TicketAccepted {
		return withExitCode(ExitFailed, errors.Newf("ticket %d is %s", number, s.Answer.Verdict))
	}
	return nil
}
