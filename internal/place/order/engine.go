package order

import (
	"context"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/place/assign"
)

// An engine is the controller's knowledge of one incarnation of an engine. Its fields are guarded by the controller's lock.
type engine struct {
	id                deck.BackendName // id and service never change, and may be read without the lock
	service           deck.ServiceName
	server            deck.Server
	sendLock          chan struct{}                                     // capacity 1: at most one order or report at a time
	refreshing        bool                                              // a report is being read
	synced            bool                                              // a report was read in this term; no outcome is unknown
	ordersAccepted    uint64                                            // number of orders that the engine has accepted
	models            map[deck.ModelName]map[deck.AdapterName]time.Time // held models; their adapters with the last use
	cached            map[deck.ModelName]bool                           // can be loaded from the engine's memory or disk
	unloadSent        map[deck.ModelName]bool                           // since the last report; the list may still show them
	acting            bool                                              // an action is in progress, to which loading, unloading and readyAt belong
	loading           deck.ModelName                                    // empty for none
	unloading         map[deck.ModelName]bool                           // about to be unloaded
	readyAt           time.Time                                         // estimate for the end of the load
	adaptersLoading   map[deck.AdapterRef]bool
	adaptersUnloading map[deck.AdapterRef]bool // unloaded once their running requests have ended
	acceptedAt        time.Time                // of the last order; a report read soon after may not show its effect
	fenced            bool                     // the engine has seen a higher fencing token: no more orders in this term
	retryAt           time.Time                // no model order or refresh before
}

func newEngine(s deck.Server) *engine {
	return &engine{
		id: s.ID, service: s.Service, server: s, unloading: make(map[deck.ModelName]bool), sendLock: make(chan struct{}, 1), models: make(map[deck.ModelName]map[deck.AdapterName]time.Time),
		unloadSent: make(map[deck.ModelName]bool), cached: make(map[deck.ModelName]bool),
		adaptersLoading: make(map[deck.AdapterRef]bool), adaptersUnloading: make(map[deck.AdapterRef]bool),
	}
}

// lockSending acquires the send lock, so that no other order or report is in flight to the engine. It returns false after
// sendLockTimeout or if ctx ends.
func (e *engine) lockSending(ctx context.Context) bool {
	t := time.NewTimer(sendLockTimeout)
	defer t.Stop()
	select {
	case e.sendLock <- struct{}{}:
		return true
	case <-t.C:
	case <-ctx.Done():
	}
	return false
}

func (e *engine) unlockSending() {
	<-e.sendLock
}

// setModels replaces the held models by those that the engine or the list reports, and keeps the last use of adapters.
func (e *engine) setModels(held []deck.HeldModel, now time.Time) {
	models := make(map[deck.ModelName]map[deck.AdapterName]time.Time, len(held))
	for _, h := range held {
		if e.unloadSent[h.Name] {
			continue
		}
		adapters := make(map[deck.AdapterName]time.Time, len(h.Adapters))
		for _, a := range h.Adapters {
			used, ok := e.models[h.Name][a]
			if !ok {
				used = now
			}
			adapters[a] = used
		}
		models[h.Name] = adapters
	}
	e.models = models
}

// applyReport updates the engine from a report. The report must have been read after the last order ended.
func (e *engine) applyReport(st deck.EngineState, now time.Time) {
	e.synced = true
	e.ordersAccepted = st.OrdersAccepted
	if !st.Busy {
		clear(e.unloadSent)
	}
	e.setModels(st.Models, now)
	e.cached = make(map[deck.ModelName]bool)
	for _, m := range st.WarmModels {
		e.cached[m] = true
	}
	for _, m := range st.DiskModels {
		e.cached[m] = true
	}
	clear(e.adaptersUnloading)
	clear(e.adaptersLoading)
	for _, c := range st.LoadingAdapters {
		e.adaptersLoading[c] = true
	}
}

// usedAdapterSlots returns how many adapters occupy a slot: those held, being loaded or being unloaded.
func (e *engine) usedAdapterSlots() int {
	n := len(e.adaptersLoading) + len(e.adaptersUnloading)
	for _, a := range e.models {
		n += len(a)
	}
	return n
}

// usedMegabytes returns the memory of all models and adapters that are held, being loaded or being unloaded.
func (e *engine) usedMegabytes(spec deck.EngineSpec) float64 {
	total := 0.0
	for name, adapters := range e.models {
		if m, ok := spec.Model(name); ok {
			total += m.Megabytes + float64(len(adapters))*m.AdapterMegabytes
		}
	}
	if m, ok := spec.Model(e.loading); ok {
		total += m.Megabytes
	}
	for _, pending := range []map[deck.AdapterRef]bool{e.adaptersLoading, e.adaptersUnloading} {
		for a := range pending {
			if m, ok := spec.Model(a.Model); ok {
				total += m.AdapterMegabytes
			}
		}
	}
	return total
}

// fits reports whether the engine has room for the model or adapter that the order loads.
func (e *engine) fits(spec deck.EngineSpec, o deck.ModelOrder) bool {
	if o.Adapter != "" {
		return e.fitsAdapter(spec, o.Model)
	}
	m, ok := spec.Model(o.Model)
	used := e.usedMegabytes(spec)
	if e.loading == o.Model {
		used -= m.Megabytes
	}
	return ok && used+m.Megabytes <= spec.WeightMegabytes
}

// fitsAdapter reports whether the engine has a slot and memory for a further adapter of the model.
func (e *engine) fitsAdapter(spec deck.EngineSpec, name deck.ModelName) bool {
	m, ok := spec.Model(name)
	return ok && e.usedAdapterSlots() < spec.AdapterSlots && e.usedMegabytes(spec)+m.AdapterMegabytes <= spec.WeightMegabytes
}

// available reports whether an order for a model may be sent to the engine.
func (e *engine) available(now time.Time) bool {
	return e.synced && !e.fenced && !e.server.Draining && !e.acting && now.After(e.retryAt)
}

// needsRefresh reports whether a report should be read, because the state is unknown or adapters are being unloaded.
func (e *engine) needsRefresh(now time.Time) bool {
	return (!e.synced || len(e.adaptersUnloading) > 0) && !e.fenced && !e.refreshing && now.After(e.retryAt) &&
		now.Sub(e.acceptedAt) > maxReportLag
}

// snapshot returns the engine's state for the planner.
func (e *engine) snapshot(spec deck.EngineSpec, now time.Time) assign.Engine {
	v := assign.Engine{
		ID: e.id, DataCentre: e.server.DataCentre, Software: e.server.Software, Available: e.available(now),
		Models:            make(map[deck.ModelName]bool),
		CapacityMegabytes: spec.WeightMegabytes, UsedMegabytes: e.usedMegabytes(spec),
		AdapterMegabytes: make(map[deck.ModelName]float64), Cached: e.cached, Loading: e.loading,
		Unloading: len(e.unloading) > 0 && e.loading == "",
	}
	for name, adapters := range e.models {
		if !e.unloading[name] {
			v.Models[name] = true
		}
		if m, ok := spec.Model(name); ok {
			v.AdapterMegabytes[name] = float64(len(adapters)) * m.AdapterMegabytes
		}
	}
	return v
}

// publishedServer returns the server as published to entry VMs, without a model that is being or may have been unloaded. An
// engine refuses calls for such a model while it waits for running requests to end.
func (e *engine) publishedServer() deck.Server {
	s := e.server
	s.Models = nil
	for _, h := range sortedModels(e.models) {
		if !e.unloading[h.Name] {
			s.Models = append(s.Models, h)
		}
	}
	return s
}
