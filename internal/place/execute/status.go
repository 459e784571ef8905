package execute

import (
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/place/memory"
)

// A Status is what the placement leader shows of its data centre.
type Status struct {
	Leads         bool
	AtRisk        []deck.ModelName  // models with only one home data centre
	WithoutSpare  []deck.DataCentre // data centres without a spare place
	Missing       []deck.ModelName  // home models for which no engine has room
	Waiting       int               // loads that the share of the weight store holds back
	Disagreements map[deck.BackendName]memory.Disagreement
	NotTakenOver  []deck.BackendName
}

// Status returns the state of the data centre's placement after the last step.
func (c *Controller) Status() Status {
	s := Status{
		Leads:         c.lease.Holder != "",
		AtRisk:        c.homes.AtRisk(),
		WithoutSpare:  c.homes.WithoutSpare(),
		Missing:       c.target.Missing(),
		Waiting:       c.waitingLoads,
		Disagreements: make(map[deck.BackendName]memory.Disagreement),
	}
	for _, e := range c.sortedEngines() {
		if d, ok := e.ledger.Disagreement(); ok {
			s.Disagreements[e.backend.Name] = d
		}
		if !e.ledger.Ready() {
			s.NotTakenOver = append(s.NotTakenOver, e.backend.Name)
		}
	}
	return s
}
