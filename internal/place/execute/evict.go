package execute

import (
	"maps"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/place/memory"
)

// loadElsewhere loads a version on another engine when its own has no room beside the old version, or when loads wait for
// each other's memory. The target's engine can then give up its old version.
func (c *Controller) loadElsewhere(out *Output, l missingLoad) {
	holders := c.countHolders(l.model.Name, l.version.Name)
	if holders > 0 && !c.stalled(out) {
		return
	}
	need := l.version.ResidentBytes() + l.version.TransientBytes
	var best *engine
	for _, e := range c.sortedEngines() {
		held, _ := e.ledger.Holds(l.item())
		if e.leaving || held || !e.ledger.Ready() || e.ledger.Busy(l.item()) || e.ledger.Free() < need {
			continue
		}
		if best == nil || e.ledger.Free() > best.ledger.Free() {
			best = e
		}
	}
	if best != nil {
		c.sendLoad(out, l, best)
		return
	}
	if holders == 0 {
		c.evict(need)
	}
}

// countHolders counts the engines that hold or are loading the version.
func (c *Controller) countHolders(m deck.ModelName, v deck.VersionName) int {
	it := memory.Item{Model: m, Version: v}
	n := 0
	for _, e := range c.engines {
		if held, _ := e.ledger.Holds(it); !e.leaving && (held || e.ledger.Loading(it)) {
			n++
		}
	}
	return n
}

// stalled reports whether no step is under way that could free memory.
func (c *Controller) stalled(out *Output) bool {
	if len(c.retiring) > 0 || len(out.Sends) > 0 {
		return false
	}
	for _, e := range c.engines {
		if e.ledger.Outstanding() > 0 {
			return false
		}
	}
	return true
}

// evict marks the fewest replicas for removal that have another place and whose memory makes room for the need.
func (c *Controller) evict(need deck.Bytes) {
	if len(c.evictions) > 0 {
		return
	}
	var best []itemKey
	for _, e := range c.sortedEngines() {
		if e.leaving || !e.ledger.Ready() {
			continue
		}
		free := e.ledger.Free()
		var victims []itemKey
		for _, it := range e.ledger.Items() {
			if free < need && c.serves(e, it) && c.replaceable(e, it) {
				victims = append(victims, itemKey{e.backend.Name, it})
				free += e.ledger.Bytes(it)
			}
		}
		if free >= need && len(victims) > 0 && (best == nil || len(victims) < len(best)) {
			best = victims
		}
	}
	for _, k := range best {
		c.evictions[k] = c.now
	}
}

// replaceable reports whether the model stays reachable without the item. An old version may go if any version serves
// elsewhere, the active one only if another replica of it does.
func (c *Controller) replaceable(e *engine, it memory.Item) bool {
	m, _ := c.state.Model(it.Model)
	if it.Version == m.Active {
		return c.otherReplicas(e, it, m.Active) > 0
	}
	return c.otherReplicas(e, it, "") > 0
}

// expireEvictions lets the planner use an evicted place again after evictionHold.
func (c *Controller) expireEvictions() {
	for k, at := range c.evictions {
		if c.now.Sub(at) >= evictionCooldown {
			delete(c.evictions, k)
		}
	}
	maps.DeleteFunc(c.retiring, func(k itemKey, _ time.Time) bool {
		e, ok := c.engines[k.backend]
		if !ok {
			return true
		}
		held, _ := e.ledger.Holds(k.item)
		return !held
	})
}
