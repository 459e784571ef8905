package placement

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// seeds make a run's figures repeatable.
var seeds = []uint64{1, 2, 3, 4, 5}

// Names returns the names of all figures.
func Names() []string {
	return []string{"attainment-per-accelerator", "moves-per-hour", "cold-model-first-token", "planner"}
}

// Run measures the named figures, all for no names, and prints one line for each figure, deployment and seed.
func Run(w io.Writer, names []string) error {
	for _, n := range names {
		if !slices.Contains(Names(), n) {
			return errors.Newf("unknown figure %q, want one of %s", n, strings.Join(Names(), ", "))
		}
	}
	wants := func(n string) bool { return len(names) == 0 || slices.Contains(names, n) }
	if wants("attainment-per-accelerator") || wants("moves-per-hour") || wants("cold-model-first-token") {
		for _, d := range deployments {
			if err := compare(w, d, wants); err != nil {
				return err
			}
		}
	}
	if wants("planner") {
		return runPlanner(w)
	}
	return nil
}

// parallel bounds the simulations that run at once.
const parallel = 4

func compare(w io.Writer, d deployment, wants func(string) bool) error {
	results := make([][3]result, len(seeds))
	var g errgroup.Group
	g.SetLimit(parallel)
	for i, seed := range seeds {
		for j, p := range []policy{greedy{}, &production{}, &static{}} {
			g.Go(func() error {
				s, err := newSim(d, seed)
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
		printResults(w, d, seed, results[i], wants)
	}
	return nil
}

func printResults(w io.Writer, d deployment, seed uint64, results [3]result, wants func(string) bool) {
	line := func(name, suffix string, baseline, policy float64, unit string) {
		if wants(name) {
			fmt.Fprintf(w, "measure %s-%s%s baseline=%.4g policy=%.4g unit=%s seed=%d\n", name, d.name, suffix, baseline, policy, unit, seed)
		}
	}
	g, p, s := results[0], results[1], results[2]
	const perAccelerator = "attained-requests/s/accelerator"
	line("attainment-per-accelerator", "", g.attained, p.attained, perAccelerator)
	line("attainment-per-accelerator", "-static", s.attained, p.attained, perAccelerator)
	line("moves-per-hour", "", g.moves, p.moves, "moves/h")
	line("moves-per-hour", "-static", s.moves, p.moves, "moves/h")
	line("cold-model-first-token", "", g.coldP99, p.coldP99, "ms-p99")
	line("cold-model-first-token", "-static", s.coldP99, p.coldP99, "ms-p99")
}
