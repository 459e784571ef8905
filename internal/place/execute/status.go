package execute

import (
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/place/memory"
)

// A Status is the state of a data centre's placement, as known to the placement leader.
type Status struct {
	HoldsLease    bool              // whether this VM holds the placement lease
	AtRisk        []deck.ModelName  // models with only one home data centre
	WithoutSpare  []deck.DataCentre // data centres without spare memory for their largest model
	Missing       []deck.ModelName  // home models for which no engine has room
	WaitingLoads  int               // model loads held back by the limit on loads in flight
	Disagreements map[deck.BackendName]memory.Disagreement
	NotTakenOver  []deck.BackendName // engines that have not been taken over yet
}

// Status returns the state of the data centre's placement after the last step.
func (c *Controller) Status() Status {
	s := Status{
		HoldsLease:    c.lease.Holder != "",
		AtRisk:        c.homes.AtRisk(),
		WithoutSpare:  c.homes.WithoutSpare(),
		Missing:       c.target.Missing(),
		WaitingLoads:  c.waitingLoads,
		Disagreements: make(map[deck.BackendName]memory.Disagreement),
	}
	for _, e := range c.sortedEngines() {
		if d, ok := e.ledger.Disagreement(); ok {
			s.Disagreements[e.backend.Name] = d
		}
		if !e.ledger.TakenOver() {
			s.NotTakenOver = append(s.NotTakenOver, e.backend.Name)
		}
	}
	return s
}
