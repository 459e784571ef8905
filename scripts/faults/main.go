// Command faults injects failures into the processes of the single-machine example and checks what must hold under each
// failure. Its arguments name the scenarios to run; without any it runs all.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/test/deployment"
)

const (
	totalTimeout    = 5 * time.Minute
	scenarioTimeout = time.Minute
)

// A scenario injects one failure and checks its consequences; all scenarios run one after the other on one deployment.
type scenario struct {
	name string
	run  func(ctx context.Context, d *deployment.Deployment) (summary string, err error)
}

func scenarios() []scenario {
	return []scenario{
		{"engine-crash", engineCrash},
		{"silent-connection", silentConnection},
		{"poison-request", poisonRequest},
		{"innocent-beside-crashes", innocentBesideCrashes},
		{"booking-answer-lost", bookingAnswerLost},
		{"entry-killed", entryKilled},
		{"ticket-races", ticketRaces},
		{"leader-killed-in-burst", leaderKilledInBurst},
		{"leader-frozen", leaderFrozen},
		{"lost-disk", lostDisk},
		{"version-change", versionChange},
		{"operations-disturbed", operationsDisturbed},
		{"leaving-server", leavingServer},
		{"leaving-by-list", leavingByList},
		{"engine-pauses", enginePauses},
		{"named-limit", namedLimit},
		{"leaving-by-answer", leavingByAnswer},
		{"software-of-streams", softwareOfStreams},
		{"no-majority", noMajority},
	}
}

func main() {
	ctx, cancel := context.WithTimeout(context.Background(), totalTimeout)
	err := run(ctx, os.Args[1:])
	cancel()
	if err != nil {
		fmt.Fprintln(os.Stderr, "faults: failed:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, names []string) (err error) {
	d, err := deployment.New("bin/geraniumdeck", "examples/single-machine.yaml", "examples/single-machine-ticket-1.yaml")
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			d.WriteLogs(os.Stderr)
		}
		err = errors.CombineErrors(err, d.Close())
	}()
	if err := startDeployment(ctx, d); err != nil {
		return err
	}
	passed := 0
	for _, s := range scenarios() {
		if !selected(s.name, names) {
			continue
		}
		if err := runScenario(ctx, d, s); err != nil {
			return err
		}
		passed++
	}
	fmt.Printf("%d passed, 0 failed\n", passed)
	return nil
}

func runScenario(ctx context.Context, d *deployment.Deployment, s scenario) error {
	ctx, cancel := context.WithTimeout(ctx, scenarioTimeout)
	defer cancel()
	begin := time.Now()
	summary, err := s.run(ctx, d)
	if err = errors.Join(err, checkOvercommits(ctx, d)); err != nil {
		return errors.Wrap(err, s.name)
	}
	fmt.Printf("faults: %s: %s (%s)\n", s.name, summary, time.Since(begin).Round(100*time.Millisecond))
	return nil
}

// selected reports whether the scenario is to run; no names select all scenarios.
func selected(name string, names []string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return len(names) == 0
}

// startDeployment starts the deployment and waits until it serves both models of its ticket.
func startDeployment(ctx context.Context, d *deployment.Deployment) error {
	ctx, cancel := context.WithTimeout(ctx, scenarioTimeout)
	defer cancel()
	if err := d.StartEmulators(); err != nil {
		return err
	}
	if err := d.StartVMs(ctx); err != nil {
		return err
	}
	if _, err := d.ApplyTicket(ctx, d.Ticket); err != nil {
		return err
	}
	for _, model := range []string{"manual", "headings"} {
		if err := awaitModel(ctx, d, model); err != nil {
			return err
		}
	}
	return nil
}

func awaitModel(ctx context.Context, d *deployment.Deployment, model string) error {
	err := deployment.Eventually(ctx, func() error {
		_, err := completeChat(ctx, d.Caller(1), model, "ready?", 1, nil)
		return err
	})
	return errors.Wrapf(err, "model %s is not served", model)
}

// completeChat requests a streamed answer and fails unless it is complete and has the requested number of tokens.
func completeChat(
	ctx context.Context, c deployment.Caller, model, prompt string, tokens int, onToken func(int),
) (deployment.ChatResponse, error) {
	resp, err := c.Chat(ctx, model, prompt, tokens, onToken)
	if err == nil && (!resp.Complete || resp.Tokens != tokens) {
		err = errors.Newf("answer of %s: got %d of %d tokens, complete %t", model, resp.Tokens, tokens, resp.Complete)
	}
	return resp, err
}
