// Command faults brings about failures of separate processes and checks what must hold under each of them.
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

// A scenario is a failure and the checks that go with it; all of them share one deployment.
type scenario struct {
	name string
	run  func(ctx context.Context, d *deployment.Deployment) (seen string, err error)
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
	seen, err := s.run(ctx, d)
	if err = errors.Join(err, checkOvercommits(ctx, d)); err != nil {
		return errors.Wrap(err, s.name)
	}
	fmt.Printf("faults: %s: %s (%s)\n", s.name, seen, time.Since(begin).Round(100*time.Millisecond))
	return nil
}

func selected(name string, names []string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return len(names) == 0
}

// startDeployment brings the deployment up with both models served.
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
	return errors.Wrapf(err, "model %s", model)
}

// completeChat streams an answer that must be whole.
func completeChat(
	ctx context.Context, c deployment.Caller, model, prompt string, tokens int, onToken func(int),
) (deployment.ChatResponse, error) {
	a, err := c.Chat(ctx, model, prompt, tokens, onToken)
	if err == nil && (!a.Complete || a.Tokens != tokens) {
		err = errors.Newf("answer of %s: %d of %d tokens, complete %t", model, a.Tokens, tokens, a.Complete)
	}
	return a, err
}
