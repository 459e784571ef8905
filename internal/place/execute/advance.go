package execute

import (
	"maps"
	"slices"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/place/memory"
	"github.com/geraniumdeck/geraniumdeck/internal/place/plan"
)

// replan computes the target from what the ledgers hold, at once after a change of the state in force.
func (c *Controller) replan() {
	if c.planned == c.state.Version()+1 && c.now.Sub(c.plannedAt) < replanInterval {
		return
	}
	c.planned, c.plannedAt = c.state.Version()+1, c.now
	c.target = plan.Local(plan.Input{
		State:      c.state,
		DataCentre: c.dc,
		Homes:      c.homes,
		Leaving:    c.in.Leaving,
		Current:    c.placements(),
		Avoid:      c.avoided(),
		Taken:      c.taken(),
		Demand:     c.in.Demand,
		Rate:       c.in.Rate,
		Now:        c.now,
	})
}

func (c *Controller) avoided() map[plan.Place]bool {
	out := make(map[plan.Place]bool, len(c.evictions))
	for p := range c.evictions {
		out[plan.Place{Backend: p.backend, Model: p.item.Model}] = true
	}
	return out
}

// taken returns the memory of each engine that no ticket explains.
func (c *Controller) taken() map[deck.BackendName]deck.Bytes {
	out := make(map[deck.BackendName]deck.Bytes)
	for name, e := range c.engines {
		if b := e.ledger.Unexplained(); b > 0 {
			out[name] = b
		}
	}
	return out
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
	c.forgetEvictions()
	c.count()
	c.waiting = 0
	for _, l := range c.wanted() {
		if c.loadsInFlight() >= c.loadLimit(l) {
			c.waiting++
			continue
		}
		if !c.load(out, l, l.engine) {
			c.elsewhere(out, l)
		}
	}
	for _, e := range c.ordered() {
		c.tendAdapters(out, e)
		c.setRole(out, e)
		c.unload(out, e)
	}
}

// loadLimit keeps one load of the share for models without any place.
func (c *Controller) loadLimit(l load) int {
	if l.places > 0 && c.in.Loads > 1 {
		return c.in.Loads - 1
	}
	return c.in.Loads
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

func (c *Controller) load(out *Output, l load, e *engine) bool {
	if at, ok := e.refusedAt[l.item()]; ok && c.now.Sub(at) < retryDelay {
		return false
	}
	return c.send(out, e, deck.Operation{
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

// count counts the reported replicas that stay, once for each step.
func (c *Controller) count() {
	c.serving = make(map[memory.Item]int)
	for _, e := range c.engines {
		if e.leaving || !e.ledger.Ready() {
			continue
		}
		for _, it := range e.ledger.Items() {
			if it.Adapter == "" && c.serves(e, it) {
				c.serving[it]++
				c.serving[memory.Item{Model: it.Model}]++
			}
		}
	}
}

// readyReplicas returns the reported replicas of a model that stay; an empty version stands for any.
func (c *Controller) readyReplicas(m deck.ModelName, v deck.VersionName) int {
	return c.serving[memory.Item{Model: m, Version: v}]
}

// retire stops offering a replica to requests.
func (c *Controller) retire(e *engine, it memory.Item) {
	if c.serves(e, it) {
		c.serving[it]--
		c.serving[memory.Item{Model: it.Model}]--
	}
	c.retiring[place{e.backend.Name, it}] = c.now
}

// serves reports whether the engine's last report shows the item ready and nothing is about to remove it.
func (c *Controller) serves(e *engine, it memory.Item) bool {
	_, ready := e.ledger.Holds(it)
	_, going := c.retiring[place{e.backend.Name, it}]
	return ready && !going && !e.ledger.Busy(it)
}
