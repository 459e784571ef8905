package execute

import (
	"maps"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/place/memory"
)

// loadElsewhere handles a load that could not be sent to its target engine, which may have no room beside the old version. If
// no engine holds or is loading the version, or if nothing in progress would free memory (loads may wait for each other's
// memory), it loads the version on the engine with the most free memory, so that the target engine can then unload its old
// version. If no engine has room and none holds or is loading the version, it marks replicas for eviction.
func (c *Controller) loadElsewhere(out *Output, l missingLoad) {
	holders := c.countHolders(l.model.Name, l.version.Name)
	if holders > 0 && !c.stalled(out) {
		return
	}
	need := l.version.ResidentBytes() + l.version.TransientBytes
	var best *engine
	for _, e := range c.sortedEngines() {
		held, _ := e.ledger.Holds(l.item())
		if e.leaving || held || !e.ledger.TakenOver() || e.ledger.Busy(l.item()) || e.ledger.FreeBytes() < need {
			continue
		}
		if best == nil || e.ledger.FreeBytes() > best.ledger.FreeBytes() {
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

// countHolders counts the engines, other than leaving ones, that hold or are loading the version.
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

// stalled reports whether nothing is in progress that could free memory.
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

// evict marks the fewest replicas of one engine whose eviction makes room for the needed bytes. Each must be replaceable.
func (c *Controller) evict(need deck.Bytes) {
	if len(c.evictions) > 0 {
		return
	}
	var best []itemKey
	for _, e := range c.sortedEngines() {
		if e.leaving || !e.ledger.TakenOver() {
			continue
		}
		free := e.ledger.FreeBytes()
		var victims []itemKey
		for _, it := range e.ledger.Items() {
			if free < need && c.serves(e, it) && c.replaceable(e, it) {
				victims = append(victims, itemKey{e.backend.Name, it})
				free += e.ledger.ItemBytes(it)
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

// replaceable reports whether the model is still served without the item. An old version may be unloaded if any version is
// served elsewhere, the active version only if another replica of it is.
func (c *Controller) replaceable(e *engine, it memory.Item) bool {
	m, _ := c.state.Model(it.Model)
	if it.Version == m.Active {
		return c.otherReplicas(e, it, m.Active) > 0
	}
	return c.otherReplicas(e, it, "") > 0
}

// expireEvictions forgets evictions after evictionCooldown, and retiring replicas that are no longer held.
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
