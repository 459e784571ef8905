package execute

import (
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/place/memory"
	"github.com/geraniumdeck/geraniumdeck/internal/place/plan"
)

// reconcileAdapters loads the missing adapters of the models that the engine holds and unloads adapters that the state in
// force does not list or whose model the engine does not hold.
func (c *Controller) reconcileAdapters(out *Output, e *engine) {
	if !e.ledger.TakenOver() || e.leaving {
		return
	}
	items := e.ledger.Items()
	models := make(map[deck.ModelName]bool)
	for _, it := range items {
		if it.Adapter == "" && !models[it.Model] {
			models[it.Model] = true
			c.loadAdapters(out, e, it.Model)
		}
	}
	for _, it := range items {
		if it.Adapter == "" {
			continue
		}
		if a, ok := c.state.Adapter(it.Adapter); !ok || !models[a.Model] {
			c.send(out, e, deck.Operation{Kind: deck.OpUnloadAdapter, Adapter: it.Adapter})
		}
	}
}

func (c *Controller) loadAdapters(out *Output, e *engine, m deck.ModelName) {
	for _, a := range c.adapters[m] {
		it := memory.Item{Adapter: a.Name}
		held, _ := e.ledger.Holds(it)
		if held || e.ledger.Busy(it) || c.adapterLoadsInFlight() >= c.input.AdapterLoadLimit {
			continue
		}
		c.send(out, e, deck.Operation{Kind: deck.OpLoadAdapter, Model: m, Adapter: a.Name, ResidentBytes: a.Bytes})
	}
}

func (c *Controller) adapterLoadsInFlight() int {
	n := 0
	for _, e := range c.engines {
		for _, it := range e.ledger.LoadingItems() {
			if it.Adapter != "" {
				n++
			}
		}
	}
	return n
}

// setRole sets the engine's role to the one that the state in force declares.
func (c *Controller) setRole(out *Output, e *engine) {
	r, _, ok := e.ledger.Report()
	if !ok || !e.ledger.TakenOver() || r.Role == e.backend.Role || e.ledger.Busy(memory.Item{}) {
		return
	}
	c.send(out, e, deck.Operation{Kind: deck.OpSetRole, Role: e.backend.Role})
}

// unloadSurplus retires and later unloads the removable model versions of the engine. A leaving engine keeps its models
// because answers are still running on it.
func (c *Controller) unloadSurplus(out *Output, e *engine) {
	if !e.ledger.TakenOver() || e.leaving {
		return
	}
	for _, it := range e.ledger.Items() {
		key := itemKey{e.backend.Name, it}
		if it.Adapter != "" || e.ledger.Busy(it) {
			continue
		}
		at, isRetiring := c.retiring[key]
		switch {
		case !c.removable(e, it):
			delete(c.retiring, key)
		case !isRetiring:
			c.retire(e, it)
		case c.now.Sub(at) >= retireDelay:
			c.send(out, e, deck.Operation{Kind: deck.OpUnloadModel, Model: it.Model, Version: it.Version})
		}
	}
}

// removable reports whether the item may be unloaded: its model is not in the state in force, or the item is not needed and
// another replica serves the active version. An evicted item only has to be replaceable.
func (c *Controller) removable(e *engine, it memory.Item) bool {
	m, ok := c.state.Model(it.Model)
	if !ok {
		return true
	}
	if _, evicted := c.evictions[itemKey{e.backend.Name, it}]; evicted {
		return c.replaceable(e, it)
	}
	return !c.needed(e, it, m) && c.otherReplicas(e, it, m.Active) > 0
}

// otherReplicas counts the serving replicas of the item's model without the item; an empty version matches any.
func (c *Controller) otherReplicas(e *engine, it memory.Item, v deck.VersionName) int {
	n := c.servingReplicaCount(it.Model, v)
	if (v == "" || v == it.Version) && c.serves(e, it) {
		n--
	}
	return n
}

// needed reports whether the engine must keep the item even if another replica serves the model.
func (c *Controller) needed(e *engine, it memory.Item, m deck.Model) bool {
	if !c.target.Includes(e.backend.Name, it.Model) {
		return it.Version == m.Active && c.now.Sub(e.ledger.ReadyAt(it)) < plan.MinResidence
	}
	if it.Version == m.Active {
		return true
	}
	// The old version stays until the new one is ready on this engine, unless there is no room for both.
	v, _ := m.ActiveVersion()
	next := memory.Item{Model: it.Model, Version: m.Active}
	_, ready := e.ledger.Holds(next)
	return !ready && (e.ledger.Loading(next) || e.ledger.FreeBytes() >= v.ResidentBytes()+v.TransientBytes)
}
