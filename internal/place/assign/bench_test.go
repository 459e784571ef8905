package assign_test

import (
	"fmt"
	"testing"

	"github.com/geraniumdeck/geraniumdeck/internal/place/assign"
)

// BenchmarkNewPlan plans for a service of 160 engines that are full, with 347 models of which a third is in demand. The leader
// plans several times a second on a fraction of a core.
func BenchmarkNewPlan(b *testing.B) {
	s := spec(347)
	var engines []assign.Engine
	demand := assign.Demand{}
	for i := range 160 {
		e := engine(fmt.Sprintf("e%03d", i), 3*i%347, (3*i+1)%347, (3*i+2)%347)
		for m := range 8 {
			e.Cached[name((3*i+50*m)%347)] = true
		}
		engines = append(engines, e)
	}
	for m := range 115 {
		demand[name(3*m)] = 20_000 / float64(m+1)
	}
	est := assign.DemandEstimate{Current: demand, Recent: demand, Utilisation: 0.5}
	var actions int
	for b.Loop() {
		actions = len(assign.NewPlan(s, engines, est, 3).Actions)
	}
	b.ReportMetric(float64(actions), "actions")
}
