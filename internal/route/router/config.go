package router

import (
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/route/choose"
	"github.com/geraniumdeck/geraniumdeck/internal/route/health"
)

// A Config names what a Router decides from.
type Config struct {
	DataCentre deck.DataCentre                 // of this VM
	Regions    map[deck.DataCentre]deck.Region // of all data centres
	Clock      deck.Clock
	Rand       deck.Rand // used by one goroutine at a time
	State      deck.StateSource
	Residency  deck.Residency
	Poison     deck.PoisonStore
	Health     health.Policy
}

// distance returns how far a data centre is from this VM; data centres without a known region count as elsewhere.
func (c Config) distance(dc deck.DataCentre) choose.Distance {
	if dc == c.DataCentre {
		return choose.SameDataCentre
	}
	if r, ok := c.Regions[dc]; ok && r == c.Regions[c.DataCentre] {
		return choose.SameRegion
	}
	return choose.Elsewhere
}
