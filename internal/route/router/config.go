package router

import (
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/core/restraint"
	"github.com/geraniumdeck/geraniumdeck/internal/route/choose"
	"github.com/geraniumdeck/geraniumdeck/internal/route/health"
)

// A Config holds a Router's settings and the sources of its decisions.
type Config struct {
	DataCentre deck.DataCentre                 // of this VM
	Regions    map[deck.DataCentre]deck.Region // of all data centres
	Clock      deck.Clock
	Rand       deck.Rand // need not be safe for concurrent use
	State      deck.StateSource
	Residency  deck.Residency
	Poison     deck.PoisonStore
	Health     health.Policy    // zero for health.DefaultPolicy
	Restraints *restraint.Table // what servers say about the requests that they take; nil for an empty one
}

// distance returns how far a data centre is from this VM; one without a known region counts as choose.OtherRegion.
func (c Config) distance(dc deck.DataCentre) choose.Distance {
	if dc == c.DataCentre {
		return choose.SameDataCentre
	}
	if r, ok := c.Regions[dc]; ok && r == c.Regions[c.DataCentre] {
		return choose.SameRegion
	}
	return choose.OtherRegion
}
