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
	seeds   = 5
	workers = 4 // runs at the same time
)

// A figure is one line of the measurement for one cell.
type figure struct {
	baseline, policy, undisturbed float64
}

// A measure computes one or more figures for a cell.
type measure struct {
	names []string
	units []string
	run   func(c cell) []figure
}

var measures = []measure{
	{[]string{"hol-first-token-p99", "hol-batch-tokens"}, []string{"ms", "tokens/s"}, measureHOL},
	{[]string{"crest-attainment", "cross-region-share"}, []string{"share", "share"}, measureCrest},
	{[]string{"crest-goodput-1.0", "crest-goodput-1.5"}, []string{"requests/s", "requests/s"}, measureGoodput},
	{[]string{"slow-server-p99"}, []string{"ms"}, measureSlow},
	{[]string{"retry-amplification"}, []string{"attempts/request"}, measureRetries},
}

// Names returns the names of all figures.
func Names() []string {
	var out []string
	for _, m := range measures {
		out = append(out, m.names...)
	}
	return out
}

// Run writes a line for each named figure (all if none are named), deployment and seed, in virtual time.
func Run(w io.Writer, names []string) error {
	for _, n := range names {
		if !slices.Contains(Names(), n) {
			return errors.Newf("unknown figure %q, known are %s", n, strings.Join(Names(), ", "))
		}
	}
	for _, m := range measures {
		if err := m.write(w, names); err != nil {
			return err
		}
	}
	return nil
}

// write runs the measure for all cells unless none of its figures is wanted.
func (m measure) write(w io.Writer, names []string) error {
	wanted := func(n string) bool { return len(names) == 0 || slices.Contains(names, n) }
	if !slices.ContainsFunc(m.names, wanted) {
		return nil
	}
	cells := allCells()
	results := make([][]figure, len(cells))
	var g errgroup.Group
	g.SetLimit(workers)
	for i, c := range cells {
		g.Go(func() error {
			results[i] = m.run(c)
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	for n, name := range m.names {
		for i, c := range cells {
			if !wanted(name) {
				continue
			}
			if err := writeLine(w, name+"-"+c.dep.name, results[i][n], m.units[n], c.seed); err != nil {
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

func allCells() []cell {
	var out []cell
	for _, d := range deployments {
		for seed := range uint64(seeds) {
			out = append(out, cell{d, seed + 1})
		}
	}
	return out
}

// measureHOL compares short work beside overnight batches with short work alone; the batch tokens/s show the price.
func measureHOL(c cell) []figure {
	rr, least := c.hol(roundRobin, true), c.hol(leastInFlight, true)
	own, alone := c.hol(production, true), c.hol(production, false)
	p99 := func(f *fleet) float64 { return f.p99(holWarm, holEnd) }
	tokens := func(f *fleet) float64 { return float64(f.batch) / holEnd.Seconds() }
	return []figure{
		{min(p99(rr), p99(least)), p99(own), p99(alone)},
		{max(tokens(rr), tokens(least)), tokens(own), 0},
	}
}

// measureCrest takes the requests that arrive from the start of the rise; undisturbed is the time before it.
func measureCrest(c cell) []figure {
	rr, least := c.crest(roundRobin, crestLoad, false), c.crest(leastInFlight, crestLoad, false)
	own := c.crest(production, crestLoad, false)
	at := func(f *fleet) float64 { return f.attainment(crestStart, crestEnd) }
	return []figure{
		{max(at(rr), at(least)), at(own), own.attainment(crestStart/2, crestStart)},
		{min(rr.crossRegion(), least.crossRegion()), own.crossRegion(), c.hol(production, false).crossRegion()},
	}
}

// measureGoodput takes the time after the rise; undisturbed is the policy's goodput at 1.0 times capacity.
func measureGoodput(c cell) []figure {
	at := func(k kind, load float64) float64 {
		return c.crest(k, load, false).goodput(crestStart+crestRamp, crestEnd)
	}
	one := at(production, 1)
	return []figure{
		{max(at(roundRobin, 1), at(leastInFlight, 1)), one, one},
		{max(at(roundRobin, overload), at(leastInFlight, overload)), at(production, overload), one},
	}
}

// measureSlow takes the requests that arrive while servers are slow.
func measureSlow(c cell) []figure {
	p99 := func(k kind, disturbed bool) float64 {
		return c.slow(k, disturbed).p99(slowStart, slowStart+slowFor)
	}
	return []figure{{
		min(p99(roundRobin, true), p99(leastInFlight, true)),
		p99(production, true),
		p99(production, false),
	}}
}

// measureRetries lets callers send again what was refused or late, at 1.5 times capacity.
func measureRetries(c cell) []figure {
	at := func(k kind, load float64) float64 { return c.crest(k, load, true).amplification() }
	return []figure{{
		min(at(roundRobin, overload), at(leastInFlight, overload)),
		at(production, overload),
		at(production, crestLoad),
	}}
}
