// Command measure prints one line for each figure: measure NAME baseline=N policy=N undisturbed=N unit=U seed=S.
// Its arguments name the figures to compute; without any it computes all.
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
	totalTimeout    = 8 * time.Minute
	seed            = 1
	ticketCount     = 100
	currentVMs      = 8 // VMs of today's deployment
	failoverRuns    = 200
	regionDelay     = 25 * time.Millisecond // one way between regions
	snapshotEntries = 200                   // fewer than the tickets, so that catching up takes a snapshot and the rest of the log
)

// Names of the figures that this command computes itself.
const (
	ticketInForceFigure = "ticket-in-force"
	failoverFigure      = "leader-failover"
	catchUpFigure       = "catch-up-500-tickets"
)

func main() {
	ctx, cancel := context.WithTimeout(context.Background(), totalTimeout)
	err := run(ctx, os.Args[1:])
	cancel()
	if err != nil {
		fmt.Fprintln(os.Stderr, "measure: failed:", err)
		os.Exit(1)
	}
}

// run prints the figures with the given names, or all if there are none.
func run(ctx context.Context, names []string) error {
	measures := map[string]func(context.Context) error{
		ticketInForceFigure: measureTickets, failoverFigure: measureFailover, catchUpFigure: measureCatchUp,
	}
	for _, n := range []string{ticketInForceFigure, failoverFigure, catchUpFigure} {
		if !selected(names, n) {
			continue
		}
		if err := measures[n](ctx); err != nil {
			return errors.Wrap(err, n)
		}
	}
	if figures := selectFigures(names, sim.FigureNames()); len(figures) > 0 {
		if err := sim.Run(os.Stdout, figures); err != nil {
			return err
		}
	}
	if figures := selectFigures(names, placement.FigureNames()); len(figures) > 0 {
		return placement.Run(os.Stdout, figures)
	}
	return nil
}

// selected reports whether the figure is to be computed; no names select all figures.
func selected(names []string, name string) bool {
	return len(names) == 0 || slices.Contains(names, name)
}

// selectFigures returns the known figures that are to be computed.
func selectFigures(names, known []string) []string {
	var out []string
	for _, k := range known {
		if selected(names, k) {
			out = append(out, k)
		}
	}
	return out
}

// printFigure prints the line of a figure that has no baseline policy.
func printFigure(name string, value float64, unit string) {
	fmt.Printf("measure %s baseline=- policy=%.4g unit=%s seed=%d\n", name, value, unit, seed)
}

func measureTickets(ctx context.Context) error {
	figures, err := distribution.TicketInForce(ctx, currentVMs, ticketCount)
	for _, f := range figures {
		printFigure(f.Name, f.Value, f.Unit)
	}
	return err
}

func measureFailover(context.Context) error {
	f := consensus.MeasureLeaderFailover(seed, failoverRuns, regionDelay)
	printFigure(failoverFigure+"-p50", float64(f.P50.Milliseconds()), "ms")
	printFigure(failoverFigure+"-max", float64(f.Max.Milliseconds()), "ms")
	return nil
}

func measureCatchUp(ctx context.Context) error {
	dir, err := os.MkdirTemp("", "geraniumdeck-")
	if err != nil {
		return err
	}
	took, err := consensus.MeasureCatchUp(ctx, dir, snapshotEntries)
	printFigure(catchUpFigure, float64(took.Milliseconds()), "ms")
	return errors.CombineErrors(err, os.RemoveAll(dir))
}
