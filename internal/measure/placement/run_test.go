package placement

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/place/plan"
)

// Guards against figures that differ between runs with the same seed, and against a simulation in which the production policy
// serves less than half of the requests in time.
func TestSimulationIsRepeatable(t *testing.T) {
	is := is.New(t)
	d := deployments[1]
	var results []result
	for range 2 {
		s, err := newSimulation(d, 1)
		is.NoErr(err)
		results = append(results, s.run(&productionPolicy{}))
	}
	is.Equal(results[0], results[1])
	is.True(results[0].attainedShare > 0.5)
}

// Guards against a mistyped figure name that is ignored, so that nothing is measured.
func TestRunRefusesUnknownNames(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	is.True(Run(&out, []string{"attainment"}) != nil)
	is.NoErr(Run(&out, []string{"planner"}))
	is.Equal(strings.Count(out.String(), "measure planner-"), 2*len(plannerSizes))
}

func BenchmarkPlanner(b *testing.B) {
	for _, size := range plannerSizes {
		b.Run(fmt.Sprintf("models=%d/engines=%d", size.models, size.engines), func(b *testing.B) {
			in, err := plannerInput(size.models, size.engines)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := plan.AssignHomes(in.State); err != nil {
					b.Fatal(err)
				}
				plan.ComputeTarget(in)
			}
		})
	}
}

// BenchmarkControllerStep times a step of a leader in steady state, with 60 engines, a tenth of 600. A leader takes four steps a
// second.
func BenchmarkControllerStep(b *testing.B) {
	d := deployment{
		dataCentres: 1, engines: 60, models: 140, meanWeightGiB: 30, concurrentLoads: 9,
		meanPause: time.Hour, meanBurst: time.Minute,
	}
	s, err := newSimulation(d, 1)
	if err != nil {
		b.Fatal(err)
	}
	now, p := time.Unix(100_000, 0), &productionPolicy{}
	s.placeHomes(now)
	step := func() {
		now = now.Add(250 * time.Millisecond)
		p.place(s, now)
	}
	for range 400 {
		step()
	}
	b.ReportAllocs()
	for b.Loop() {
		step()
	}
}
