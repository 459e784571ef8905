package execute

import (
	"sync"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/place/plan"
)

// A Collector merges the token counts of a data centre's entry VMs into demand estimates. It is safe for concurrent use.
type Collector struct {
	clock deck.Clock

	mu        sync.Mutex
	estimates plan.Estimates
}

var _ deck.DemandSink = (*Collector)(nil)

// NewCollector returns a Collector that has recorded no demand.
func NewCollector(clock deck.Clock) *Collector {
	return &Collector{clock: clock}
}

// AddDemand implements deck.DemandSink.AddDemand.
func (c *Collector) AddDemand(d deck.DemandReport) {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, row := range d.Counts {
		c.estimates.Add(row.Model, float64(row.Tokens), now)
	}
}

// Rates returns the demand for all models at the given time.
func (c *Collector) Rates(now time.Time) map[deck.ModelName]plan.Rates {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.estimates.Rates(now)
}
