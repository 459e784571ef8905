package placement

import (
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/place/plan"
)

// plannerSizes are the sizes at which the planner is timed, each with all engines in one data centre.
var plannerSizes = []struct{ models, engines int }{{35, 18}, {350, 150}, {1400, 600}}

// plannerInput returns a data centre whose current placement is the target without demand, with a burst in a tenth of the models.
func plannerInput(models, engines int) (plan.Input, error) {
	d := deployment{dataCentres: 1, engines: engines, models: models, meanWeightGiB: 30}
	r := rand.New(rand.NewPCG(1, 3))
	in := plan.Input{
		State: d.buildState(r), DataCentre: dataCentreName(0),
		Demand: make(map[deck.ModelName]plan.Rates), Now: time.Unix(100_000, 0),
	}
	var err error
	if in.Homes, err = plan.AssignHomes(in.State); err != nil {
		return in, err
	}
	t := plan.ComputeTarget(in)
	for _, b := range in.State.BackendServers() {
		for _, m := range t.Models(b.Name) {
			in.Current = append(in.Current, plan.Placement{Backend: b.Name, Model: m, Since: in.Now.Add(-time.Hour)})
		}
	}
	for i, m := range in.State.Models() {
		rate := 0.3 * engineTokensPerSecond * float64(engines) / float64(models)
		in.Demand[m.Name] = plan.Rates{Fast: rate, Slow: rate}
		if i%10 == 0 {
			in.Demand[m.Name] = plan.Rates{Fast: 10 * rate, Slow: 3 * rate}
		}
	}
	return in, nil
}

// measurePlanner measures the time and the allocated memory of assigning homes and computing a target. The baselines are the
// limits of 100 ms and 64 MB.
func measurePlanner(w io.Writer) error {
	const rounds = 20
	for _, size := range plannerSizes {
		in, err := plannerInput(size.models, size.engines)
		if err != nil {
			return err
		}
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		start := time.Now()
		for range rounds {
			if _, err := plan.AssignHomes(in.State); err != nil {
				return err
			}
			plan.ComputeTarget(in)
		}
		spent := time.Since(start)
		runtime.ReadMemStats(&after)
		name := fmt.Sprintf("planner-%d-models-%d-engines", size.models, size.engines)
		fmt.Fprintf(w, "measure %s baseline=100 policy=%.3g unit=ms seed=1\n", name, spent.Seconds()*1000/rounds)
		fmt.Fprintf(w, "measure %s-memory baseline=64 policy=%.3g unit=MB-allocated seed=1\n", name,
			float64(after.TotalAlloc-before.TotalAlloc)/rounds/1e6)
	}
	return nil
}
