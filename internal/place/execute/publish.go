package execute

import "github.com/geraniumdeck/geraniumdeck/internal/core/deck"

// tableNumberBits is the number of low bits of a residency version that number the tables under one fencing token. The
// token is in the high bits, so that versions increase across leaders.
const tableNumberBits = 20

// Residency returns the current residency table. ok is false without the lease and until the engines have been taken over.
func (c *Controller) Residency() (t deck.ResidencyTable, ok bool) {
	if c.lease.Holder == "" || !c.takeoverEnded() {
		return c.residency, false
	}
	next := c.buildResidency()
	if c.tableNumber == 0 || !next.SameRows(c.residency) {
		c.tableNumber++
		c.residency = next.WithVersion(c.lease.FencingToken<<tableNumberBits | c.tableNumber)
	}
	return c.residency, true
}

func (c *Controller) buildResidency() deck.ResidencyTable {
	replicas := make(map[deck.ModelName][]deck.ModelReplica)
	adapters := make(map[deck.BackendName][]deck.AdapterName)
	for _, e := range c.sortedEngines() {
		for _, it := range e.ledger.Items() {
			if it.Adapter != "" {
				adapters[e.backend.Name] = append(adapters[e.backend.Name], it.Adapter)
				continue
			}
			replicas[it.Model] = append(replicas[it.Model], deck.ModelReplica{
				Backend: e.backend.Name,
				Version: it.Version,
				Ready:   c.serves(e, it),
			})
		}
	}
	return deck.NewResidencyTable(0, replicas, adapters)
}

// SplitVersion splits a residency version into the fencing token and the number of the table under that token.
func SplitVersion(version uint64) (token, number uint64) {
	return version >> tableNumberBits, version & (1<<tableNumberBits - 1)
}
