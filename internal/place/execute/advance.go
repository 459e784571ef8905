package execute

import (
	"maps"
	"slices"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/place/memory"
	"github.com/geraniumdeck/geraniumdeck/internal/place/plan"
)

// updateTarget computes the target from the ledgers: at once after a change of the state in force, and otherwise every
// replanInterval.
func (c *Controller) updateTarget() {
	if c.plannedVersion == c.state.Version()+1 && c.now.Sub(c.plannedAt) < replanInterval {
		return
	}
	c.plannedVersion, c.plannedAt = c.state.Version()+1, c.now
	c.target = plan.ComputeTarget(plan.Input{
		State:           c.state,
		DataCentre:      c.dc,
		Homes:           c.homes,
		Leaving:         c.input.Leaving,
		Current:         c.placements(),
		Avoid:           c.evictedReplicas(),
		Unavailable:     c.unexplainedMemory(),
		Demand:          c.input.Demand,
		TokensPerSecond: c.input.TokensPerSecond,
		Now:             c.now,
	})
}

func (c *Controller) evictedReplicas() map[plan.ReplicaID]bool {
	out := make(map[plan.ReplicaID]bool, len(c.evictions))
	for k := range c.evictions {
		out[plan.ReplicaID{Backend: k.backend, Model: k.item.Model}] = true
	}
	return out
}

// unexplainedMemory returns the reported memory of each engine that its ledger does not account for.
func (c *Controller) unexplainedMemory() map[deck.BackendName]deck.Bytes {
	out := make(map[deck.BackendName]deck.Bytes)
	for name, e := range c.engines {
		if b := e.ledger.UnexplainedBytes(); b > 0 {
			out[name] = b
		}
	}
	return out
}

// placements returns the replicas that are held or loading, ordered by engine and model.
func (c *Controller) placements() []plan.Placement {
	var out []plan.Placement
	for _, e := range c.sortedEngines() {
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

// advance emits the operations that are safe now: model loads first, in order of urgency, then adapters, roles and unloads.
func (c *Controller) advance(out *Output) {
	c.expireEvictions()
	c.countServing()
	c.waitingLoads = 0
	for _, l := range c.missingLoads() {
		if c.loadsInFlight() >= c.loadLimit(l) {
			c.waitingLoads++
			continue
		}
		if !c.sendLoad(out, l, l.engine) {
			c.loadElsewhere(out, l)
		}
	}
	for _, e := range c.sortedEngines() {
		c.reconcileAdapters(out, e)
		c.setRole(out, e)
		c.unloadSurplus(out, e)
	}
}

// loadLimit returns the number of loads that may be in flight before this one. One load is reserved for models without a
// serving replica.
func (c *Controller) loadLimit(l missingLoad) int {
	if l.serving > 0 && c.input.LoadLimit > 1 {
		return c.input.LoadLimit - 1
	}
	return c.input.LoadLimit
}

// A missingLoad is a model version that the target lists for an engine and that the engine lacks.
type missingLoad struct {
	engine  *engine
	model   deck.Model
	version deck.ModelVersion
	serving int // serving replicas of the model on engines that are not leaving
}

func (l missingLoad) item() memory.Item {
	return memory.Item{Model: l.model.Name, Version: l.version.Name}
}

// missingLoads returns the missing loads, ordered by the number of serving replicas of the model.
func (c *Controller) missingLoads() []missingLoad {
	var out []missingLoad
	for _, e := range c.sortedEngines() {
		for _, name := range c.target.Models(e.backend.Name) {
			m, _ := c.state.Model(name)
			v, ok := m.ActiveVersion()
			it := memory.Item{Model: name, Version: v.Name}
			if held, _ := e.ledger.Holds(it); !ok || held || e.ledger.Busy(it) {
				continue
			}
			out = append(out, missingLoad{engine: e, model: m, version: v, serving: c.servingReplicaCount(name, "")})
		}
	}
	slices.SortStableFunc(out, func(a, b missingLoad) int { return a.serving - b.serving })
	return out
}

func (c *Controller) sendLoad(out *Output, l missingLoad, e *engine) bool {
	if at, ok := e.notRunAt[l.item()]; ok && c.now.Sub(at) < retryDelay {
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

// countServing counts the serving replicas on engines that are not leaving; it runs once per step.
func (c *Controller) countServing() {
	c.servingReplicas = make(map[memory.Item]int)
	for _, e := range c.engines {
		if e.leaving || !e.ledger.TakenOver() {
			continue
		}
		for _, it := range e.ledger.Items() {
			if it.Adapter == "" && c.serves(e, it) {
				c.servingReplicas[it]++
				c.servingReplicas[memory.Item{Model: it.Model}]++
			}
		}
	}
}

// servingReplicaCount returns the number of serving replicas on engines that are not leaving; an empty version matches any.
func (c *Controller) servingReplicaCount(m deck.ModelName, v deck.VersionName) int {
	return c.servingReplicas[memory.Item{Model: m, Version: v}]
}

// retire withdraws a replica from routing before it is unloaded.
func (c *Controller) retire(e *engine, it memory.Item) {
	if c.serves(e, it) {
		c.servingReplicas[it]--
		c.servingReplicas[memory.Item{Model: it.Model}]--
	}
	c.retiring[itemKey{e.backend.Name, it}] = c.now
}

// serves reports whether the engine's last report shows the item ready and the item is neither retiring nor subject to an
// outstanding operation.
func (c *Controller) serves(e *engine, it memory.Item) bool {
	_, ready := e.ledger.Holds(it)
	_, isRetiring := c.retiring[itemKey{e.backend.Name, it}]
	return ready && !isRetiring && !e.ledger.Busy(it)
}
