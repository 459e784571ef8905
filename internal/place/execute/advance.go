package execute

import (
	"maps"
	"slices"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/place/memory"
	"github.com/geraniumdeck/geraniumdeck/internal/place/plan"
)

// replan computes the target from what the ledgers hold.
func (c *Controller) replan() {
	c.target = plan.Local(plan.Input{
		State:      c.state,
		DataCentre: c.dc,
		Homes:      c.homes,
		Leaving:    c.in.Leaving,
		Current:    c.placements(),
		Now:        c.now,
	})
}

func (c *Controller) placements() []plan.Placement {
	var out []plan.Placement
	for _, e := range c.ordered() {
		held := make(map[deck.ModelName]plan.Placement)
		for _, it := range e.ledger.Items() {
			if it.Adapter == "" && !e.ledger.Unloading(it) {
				held[it.Model] = plan.Placement{Backend: e.backend.Name, Model: it.Model, Since: e.ledger.ReadyAt(it)}
			}
		}
		for _, it := range e.ledger.LoadingItems() {
			if _, ok := held[it.Model]; !ok && it.Adapter == "" {
				held[it.Model] = plan.Placement{Backend: e.backend.Name, Model: it.Model}
			}
		}
		for _, m := range slices.Sorted(maps.Keys(held)) {
			out = append(out, held[m])
		}
	}
	return out
}

// advance emits the steps that are safe now: loads first, in order of need, then adapters, roles and unloads.
func (c *Controller) advance(out *Output) {
	for _, l := range c.wanted() {
		if c.loadsInFlight() >= c.in.Loads {
			break
		}
		c.load(out, l)
	}
	for _, e := range c.ordered() {
		c.adapters(out, e)
		c.unload(out, e)
	}
}

// A load is a model version that an engine lacks.
type load struct {
	engine  *engine
	model   deck.Model
	version deck.ModelVersion
	places  int // ready replicas of the model anywhere in the data centre
}

func (l load) item() memory.Item {
	return memory.Item{Model: l.model.Name, Version: l.version.Name}
}

// wanted returns the missing loads, those that restore a model's only place first.
func (c *Controller) wanted() []load {
	var out []load
	for _, e := range c.ordered() {
		for _, name := range c.target.Models(e.backend.Name) {
			m, _ := c.state.Model(name)
			v, ok := m.ActiveVersion()
			it := memory.Item{Model: name, Version: v.Name}
			if held, _ := e.ledger.Holds(it); !ok || held || e.ledger.Busy(it) {
				continue
			}
			out = append(out, load{engine: e, model: m, version: v, places: c.readyReplicas(name, "")})
		}
	}
	slices.SortStableFunc(out, func(a, b load) int { return a.places - b.places })
	return out
}

func (c *Controller) load(out *Output, l load) bool {
	if at, ok := l.engine.refusedAt[l.item()]; ok && c.now.Sub(at) < retryDelay {
		return false
	}
	return c.send(out, l.engine, deck.Operation{
		Kind:           deck.OpLoadModel,
		Model:          l.model.Name,
		Version:        l.version.Name,
		WeightBytes:    l.version.WeightBytes,
		ResidentBytes:  l.version.ResidentBytes(),
		TransientBytes: l.version.TransientBytes,
	})
}

func (c *Controller) loadsInFlight() int {
	n := 0
	for _, e := range c.engines {
		for _, it := range e.ledger.LoadingItems() {
			if it.Adapter == "" {
				n++
			}
		}
	}
	return n
}

// readyReplicas counts the reported replicas of a model that stay; an empty version stands for any.
func (c *Controller) readyReplicas(m deck.ModelName, v deck.VersionName) int {
	n := 0
	for _, e := range c.engines {
		if e.leaving || !e.ledger.Ready() {
			continue
		}
		for _, it := range e.ledger.Items() {
			if it.Model == m && (v == "" || it.Version == v) && c.serves(e, it) {
				n++
			}
		}
	}
	return n
}

// serves reports whether the engine's last report shows the item ready and nothing is about to remove it.
func (c *Controller) serves(e *engine, it memory.Item) bool {
	_, ready := e.ledger.Holds(it)
	_, going := c.retiring[place{e.backend.Name, it}]
	return ready && !going && !e.ledger.Busy(it)
}

// adapters loads the missing adapters of the models that the engine holds and removes those that no ticket lists.
func (c *Controller) adapters(out *Output, e *engine) {
	if !e.ledger.Ready() || e.leaving {
		return
	}
	models := make(map[deck.ModelName]bool)
	for _, it := range e.ledger.Items() {
		if _, ready := e.ledger.Holds(it); it.Adapter == "" && ready {
			models[it.Model] = true
		}
	}
	for _, a := range c.state.Adapters() {
		it := memory.Item{Adapter: a.Name}
		if held, _ := e.ledger.Holds(it); !models[a.Model] || held || e.ledger.Busy(it) {
			continue
		}
		c.send(out, e, deck.Operation{Kind: deck.OpLoadAdapter, Model: a.Model, Adapter: a.Name, ResidentBytes: a.Bytes})
	}
	for _, it := range e.ledger.Items() {
		if it.Adapter == "" {
			continue
		}
		if a, ok := c.state.Adapter(it.Adapter); !ok || !models[a.Model] {
			c.send(out, e, deck.Operation{Kind: deck.OpUnloadAdapter, Adapter: it.Adapter})
		}
	}
}

// unload removes the model versions that the target does not list, each only once another place is reported.
func (c *Controller) unload(out *Output, e *engine) {
	for _, it := range e.ledger.Items() {
		key := place{e.backend.Name, it}
		if it.Adapter != "" || e.ledger.Busy(it) {
			continue
		}
		at, going := c.retiring[key]
		switch {
		case !c.surplus(e, it):
			delete(c.retiring, key)
		case !going:
			c.retiring[key] = c.now
		case c.now.Sub(at) >= retireDelay:
			c.send(out, e, deck.Operation{Kind: deck.OpUnloadModel, Model: it.Model, Version: it.Version})
		}
	}
}

// surplus reports whether the item may go: its model is removed, or another replica serves the active version.
func (c *Controller) surplus(e *engine, it memory.Item) bool {
	m, ok := c.state.Model(it.Model)
	if !ok {
		return true
	}
	if it.Version == m.Active && c.target.Wants(e.backend.Name, it.Model) {
		return false
	}
	others := c.readyReplicas(it.Model, m.Active)
	if it.Version == m.Active && c.serves(e, it) && !e.leaving {
		others--
	}
	return others > 0
}
