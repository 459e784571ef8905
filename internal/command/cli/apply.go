package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/api/operator"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/ticket"
)

const applyHelp = `Submit a ticket from a YAML file and wait until it is in force on every reachable VM.

Submitting the same ticket again is safe and returns the same answer.

Example: geraniumdeck apply -s deployment.yaml ticket-17.yaml`

// pollInterval is the pause between two attempts to submit a ticket or to read its status.
const pollInterval = 100 * time.Millisecond

func (c *config) addApply(app *kingpin.Application) {
	var file string
	var wait bool
	cmd := app.Command("apply", applyHelp)
	c.addConnectionFlags(cmd)
	c.addJSONFlag(cmd)
	cmd.Flag("wait", "Wait until the ticket is in force.").Default("true").BoolVar(&wait)
	cmd.Arg("file", "Ticket file in YAML.").Required().StringVar(&file)
	cmd.Action(func(*kingpin.ParseContext) error { return c.apply(file, wait) })
}

func (c *config) apply(file string, wait bool) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	t, err := ticket.DecodeYAML(data)
	if err != nil {
		return withExitCode(ExitUsage, errors.Wrap(err, file))
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	a, err := c.submit(ctx, t)
	if err != nil {
		return err
	}
	if a.Verdict != deck.TicketAccepted {
		return c.reportNotAccepted(a)
	}
	if !wait {
		return c.printStatus(deck.TicketStatus{Answer: a})
	}
	return c.awaitInForce(ctx, t.Number)
}

// submit sends the ticket to one VM after the other until one decides on it. A ticket is idempotent, so repeating it is safe.
func (c *config) submit(ctx context.Context, t deck.Ticket) (deck.TicketAnswer, error) {
	var a deck.TicketAnswer
	var lastAnswerErr error // the last error in a VM's response
	for {
		err := c.callAny(ctx, func(ctx context.Context, cl operator.Client) error {
			var err error
			a, err = cl.ApplyTicket(ctx, t)
			return err
		})
		if err == nil || hasExitCode(err, ExitUsage) || isRequestError(err) {
			return a, err
		}
		if hasExitCode(err, ExitFailed) {
			lastAnswerErr = err
		}
		if deck.Sleep(ctx, pollInterval) {
			continue
		}
		if lastAnswerErr != nil {
			return a, lastAnswerErr
		}
		return a, err
	}
}

func (c *config) reportNotAccepted(a deck.TicketAnswer) error {
	if c.json {
		if err := c.printStatus(deck.TicketStatus{Answer: a}); err != nil {
			return err
		}
	}
	return withExitCode(ExitFailed, errors.Newf("ticket %d %s: %s", a.Number, a.Verdict, a.Reason))
}

func (c *config) awaitInForce(ctx context.Context, number uint64) error {
	var s deck.TicketStatus
	for {
		err := c.callAny(ctx, func(ctx context.Context, cl operator.Client) error {
			var err error
			s, err = cl.TicketStatus(ctx, number)
			return err
		})
		if err == nil && s.InForce() {
			return c.printStatus(s)
		}
		if !deck.Sleep(ctx, pollInterval) {
			return withExitCode(ExitNotInForce, errors.Newf("ticket %d is accepted but not in force on %s after %s",
				number, joinNames(s.Unconfirmed), c.timeout))
		}
	}
}

func (c *config) printStatus(s deck.TicketStatus) error {
	if c.json {
		return c.printJSON(operator.StatusDocument(s))
	}
	a := s.Answer
	fmt.Fprintf(c.stdout, "ticket %d: %s", a.Number, a.Verdict)
	if a.Version > 0 {
		fmt.Fprintf(c.stdout, ", state version %d", a.Version)
	}
	if a.Reason != "" {
		fmt.Fprintf(c.stdout, ": %s", a.Reason)
	}
	fmt.Fprintln(c.stdout)
	rows := []struct {
		label string
		vms   []deck.VMName
	}{{"in force on", s.Confirmed}, {"not yet on", s.Unconfirmed}, {"cut off", s.CutOff}}
	for _, r := range rows {
		if len(r.vms) > 0 {
			fmt.Fprintf(c.stdout, "%s: %s\n", r.label, joinNames(r.vms))
		}
	}
	return nil
}

func (c *config) printJSON(v any) error {
	enc := json.NewEncoder(c.stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

func hasExitCode(err error, code int) bool {
	var e *exitError
	return errors.As(err, &e) && e.code == code
}

// isRequestError reports whether a VM rejected the request as invalid, so that a retry cannot succeed.
func isRequestError(err error) bool {
	var e *operator.StatusError
	return errors.As(err, &e) && e.Code < http.StatusInternalServerError
}

func joinNames(vms []deck.VMName) string {
	if len(vms) == 0 {
		return "any VM"
	}
	out := make([]string, 0, len(vms))
	for _, v := range vms {
		out = append(out, string(v))
	}
	return strings.Join(out, ", ")
}
