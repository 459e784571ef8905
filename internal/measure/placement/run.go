package placement

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// seeds are the random seeds of the runs; they are fixed so that the figures are repeatable.
var seeds = []uint64{1, 2, 3, 4, 5}

// FigureNames returns the names of all figures.
func FigureNames() []string {
	return []string{"attainment-per-accelerator", "moves-per-hour", "cold-model-first-token", "planner"}
}

// Run measures the named figures, or all if none are named, and writes one line for each figure, deployment and seed.
func Run(w io.Writer, names []string) error {
	for _, n := range names {
		if !slices.Contains(FigureNames(), n) {
			return errors.Newf("unknown figure %q; known figures: %s", n, strings.Join(FigureNames(), ", "))
		}
	}
	selected := func(n string) bool { return len(names) == 0 || slices.Contains(names, n) }
	if selected("attainment-per-accelerator") || selected("moves-per-hour") || selected("cold-model-first-token") {
		for _, d := range deployments {
			if err := comparePolicies(w, d, selected); err != nil {
				return err
			}
		}
	}
	if selected("planner") {
		return measurePlanner(w)
	}
	return nil
}

// maxParallelRuns is the largest number of simulations that run in parallel.
const maxParallelRuns = 4

func comparePolicies(w io.Writer, d deployment, selected func(string) bool) error {
	results := make([][3]result, len(seeds))
	var g errgroup.Group
	g.SetLimit(maxParallelRuns)
	for i, seed := range seeds {
		for j, p := range []policy{greedyPolicy{}, &productionPolicy{}, &staticPolicy{}} {
			g.Go(func() error {
				s, err := newSimulation(d, seed)
				if err == nil {
					results[i][j] = s.run(p)
				}
				return err
			})
		}
	}
	if err := g.Wait(); err != nil {
		return err
	}
	for i, seed := range seeds {
		printResults(w, d, seed, results[i], selected)
	}
	return nil
}

func printResults(w io.Writer, d deployment, seed uint64, results [3]result, selected func(string) bool) {
	printLine := func(name, suffix string, baseline, policy float64, unit string) {
		if selected(name) {
			fmt.Fprintf(w, "measure %s-%s%s baseline=%.4g policy=%.4g unit=%s seed=%d\n", name, d.name, suffix, baseline, policy, unit, seed)
		}
	}
	greedy, production, static := results[0], results[1], results[2]
	const rateUnit = "attained-requests/s/accelerator"
	printLine("attainment-per-accelerator", "", greedy.attainedPerAccelerator, production.attainedPerAccelerator, rateUnit)
	printLine("attainment-per-accelerator", "-static", static.attainedPerAccelerator, production.attainedPerAccelerator, rateUnit)
	printLine("moves-per-hour", "", greedy.loadsPerHour, production.loadsPerHour, "moves/h")
	printLine("moves-per-hour", "-static", static.loadsPerHour, production.loadsPerHour, "moves/h")
	printLine("cold-model-first-token", "", greedy.coldP99Ms, production.coldP99Ms, "ms-p99")
	printLine("cold-model-first-token", "-static", static.coldP99Ms, production.coldP99Ms, "ms-p99")
}
