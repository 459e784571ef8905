// Command measure prints one line for each measured figure: measure NAME baseline=N policy=N undisturbed=N unit=U seed=S.
package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/measure/consensus"
	"github.com/geraniumdeck/geraniumdeck/internal/measure/distribution"
	"github.com/geraniumdeck/geraniumdeck/internal/measure/placement"
	"github.com/geraniumdeck/geraniumdeck/internal/measure/sim"
)

const (
	wholeRun      = 8 * time.Minute
	seed          = 1
	tickets       = 100
	todaysVMs     = 8
	failoverRuns  = 200
	failoverDelay = 25 * time.Millisecond // one way between regions
	snapshotAfter = 200                   // entries, so that catching up takes a snapshot and the rest of the log
)

// Names of the figures that this command computes itself.
const (
	ticketInForce = "ticket-in-force"
	failover      = "leader-failover"
	catchUp       = "catch-up-500-tickets"
)

func main() {
	ctx, cancel := context.WithTimeout(context.Background(), wholeRun)
	err := run(ctx, os.Args[1:])
	cancel()
	if err != nil {
		fmt.Fprintln(os.Stderr, "measure: failed:", err)
		os.Exit(1)
	}
}

// run prints the figures with the given names, or all.
func run(ctx context.Context, names []string) error {
	own := map[string]func(context.Context) error{
		ticketInForce: measureTickets, failover: measureFailover, catchUp: measureCatchUp,
	}
	for _, n := range []string{ticketInForce, failover, catchUp} {
		if !wanted(names, n) {
			continue
		}
		if err := own[n](ctx); err != nil {
			return errors.Wrap(err, n)
		}
	}
	if part := chosen(names, sim.Names()); len(part) > 0 {
		if err := sim.Run(os.Stdout, part); err != nil {
			return err
		}
	}
	if part := chosen(names, placement.Names()); len(part) > 0 {
		return placement.Run(os.Stdout, part)
	}
	return nil
}

func wanted(names []string, name string) bool {
	return len(names) == 0 || slices.Contains(names, name)
}

func chosen(names, known []string) []string {
	var out []string
	for _, k := range known {
		if wanted(names, k) {
			out = append(out, k)
		}
	}
	return out
}

// line prints a figure that has no baseline policy.
func line(name string, value float64, unit string) {
	fmt.Printf("measure %s baseline=- policy=%.4g unit=%s seed=%d\n", name, value, unit, seed)
}

func measureTickets(ctx context.Context) error {
	figures, err := distribution.TicketInForce(ctx, todaysVMs, tickets)
	for _, f := range figures {
		line(f.Name, f.Value, f.Unit)
	}
	return err
}

func measureFailover(context.Context) error {
	f := consensus.LeaderFailover(seed, failoverRuns, failoverDelay)
	line(failover+"-p50", float64(f.P50.Milliseconds()), "ms")
	line(failover+"-max", float64(f.Max.Milliseconds()), "ms")
	return nil
}

func measureCatchUp(ctx context.Context) error {
	dir, err := os.MkdirTemp("", "geraniumdeck-")
	if err != nil {
		return err
	}
	took, err := consensus.CatchUp(ctx, dir, snapshotAfter)
	line(catchUp, float64(took.Milliseconds()), "ms")
	return errors.CombineErrors(err, os.RemoveAll(dir))
}
