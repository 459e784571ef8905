package sim

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

const (
	seedCount       = 5
	maxParallelRuns = 4
)

// A figure holds the values of one output line.
type figure struct {
	baseline, policy, undisturbed float64
}

// A measure computes one or more figures of a scenario.
type measure struct {
	names []string
	units []string
	run   func(sc scenario) []figure
}

var measures = []measure{
	{[]string{"hol-first-token-p99", "hol-batch-tokens"}, []string{"ms", "tokens/s"}, measureHOL},
	{[]string{"crest-attainment", "cross-region-share"}, []string{"share", "share"}, measureSurge},
	{[]string{"crest-goodput-1.0", "crest-goodput-1.5"}, []string{"requests/s", "requests/s"}, measureGoodput},
	{[]string{"slow-server-p99"}, []string{"ms"}, measureSlowServers},
	{[]string{"retry-amplification"}, []string{"attempts/request"}, measureRetries},
}

// FigureNames returns the names of all figures.
func FigureNames() []string {
	var out []string
	for _, m := range measures {
		out = append(out, m.names...)
	}
	return out
}

// Run computes the named figures, or all if none are named, and writes one line for each figure, deployment and seed.
func Run(w io.Writer, names []string) error {
	for _, n := range names {
		if !slices.Contains(FigureNames(), n) {
			return errors.Newf("unknown figure %q; known figures: %s", n, strings.Join(FigureNames(), ", "))
		}
	}
	for _, m := range measures {
		if err := m.write(w, names); err != nil {
			return err
		}
	}
	return nil
}

// write runs the measure on all scenarios, if any of its figures is selected, and writes the lines of the selected ones.
func (m measure) write(w io.Writer, names []string) error {
	selected := func(n string) bool { return len(names) == 0 || slices.Contains(names, n) }
	if !slices.ContainsFunc(m.names, selected) {
		return nil
	}
	scenarios := allScenarios()
	results := make([][]figure, len(scenarios))
	var g errgroup.Group
	g.SetLimit(maxParallelRuns)
	for i, sc := range scenarios {
		g.Go(func() error {
			results[i] = m.run(sc)
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	for n, name := range m.names {
		for i, sc := range scenarios {
			if !selected(name) {
				continue
			}
			if err := writeLine(w, name+"-"+sc.dep.name, results[i][n], m.units[n], sc.seed); err != nil {
				return err
			}
		}
	}
	return nil
}

func writeLine(w io.Writer, name string, f figure, unit string, seed uint64) error {
	_, err := fmt.Fprintf(w, "measure %s baseline=%.4g policy=%.4g undisturbed=%.4g unit=%s seed=%d\n",
		name, f.baseline, f.policy, f.undisturbed, unit, seed)
	return errors.Wrap(err, "write figure")
}

func allScenarios() []scenario {
	var out []scenario
	for _, d := range deployments {
		for seed := range uint64(seedCount) {
			out = append(out, scenario{d, seed + 1})
		}
	}
	return out
}

// measureHOL compares the latency of interactive requests beside batch requests (undisturbed: without them). The batch
// throughput shows what the lower latency costs.
func measureHOL(sc scenario) []figure {
	rr, least := sc.runHOL(roundRobin, true), sc.runHOL(leastInFlight, true)
	prod, alone := sc.runHOL(production, true), sc.runHOL(production, false)
	p99 := func(f *fleet) float64 { return f.firstTokenP99Ms(holWarmUp, holEnd) }
	tokens := func(f *fleet) float64 { return float64(f.batchTokens) / holEnd.Seconds() }
	return []figure{
		{min(p99(rr), p99(least)), p99(prod), p99(alone)},
		{max(tokens(rr), tokens(least)), tokens(prod), 0},
	}
}

// measureSurge compares the attainment of requests that arrive from the start of the surge on (undisturbed: before it) and
// the share of traffic that crosses regions (undisturbed: under constant load).
func measureSurge(sc scenario) []figure {
	rr, least := sc.runSurge(roundRobin, surgeLoad, false), sc.runSurge(leastInFlight, surgeLoad, false)
	prod := sc.runSurge(production, surgeLoad, false)
	shareOf := func(f *fleet) float64 { return f.attainment(surgeStart, surgeEnd) }
	return []figure{
		{max(shareOf(rr), shareOf(least)), shareOf(prod), prod.attainment(surgeStart/2, surgeStart)},
		{min(rr.crossRegionShare(), least.crossRegionShare()), prod.crossRegionShare(), sc.runHOL(production, false).crossRegionShare()},
	}
}

// measureGoodput compares the goodput after the ramp at 1.0 and 1.5 times capacity (undisturbed: the production policy at 1.0).
func measureGoodput(sc scenario) []figure {
	goodputAt := func(k policyKind, load float64) float64 {
		return sc.runSurge(k, load, false).goodput(surgeStart+surgeRampTime, surgeEnd)
	}
	prodAtCapacity := goodputAt(production, 1)
	return []figure{
		{max(goodputAt(roundRobin, 1), goodputAt(leastInFlight, 1)), prodAtCapacity, prodAtCapacity},
		{max(goodputAt(roundRobin, overload), goodputAt(leastInFlight, overload)), goodputAt(production, overload), prodAtCapacity},
	}
}

// measureSlowServers compares the latency of requests that arrive while some engines are slow.
func measureSlowServers(sc scenario) []figure {
	p99 := func(k policyKind, disturbed bool) float64 {
		return sc.runSlowServers(k, disturbed).firstTokenP99Ms(slowStart, slowStart+slowDuration)
	}
	return []figure{{
		min(p99(roundRobin, true), p99(leastInFlight, true)),
		p99(production, true),
		p99(production, false),
	}}
}

// measureRetries compares the attempts per request at 1.5 times capacity when callers resend refused and late requests
// (undisturbed: the production policy below capacity).
func measureRetries(sc scenario) []figure {
	amplificationAt := func(k policyKind, load float64) float64 { return sc.runSurge(k, load, true).amplification() }
	return []figure{{
		min(amplificationAt(roundRobin, overload), amplificationAt(leastInFlight, overload)),
		amplificationAt(production, overload),
		amplificationAt(production, surgeLoad),
	}}
}
