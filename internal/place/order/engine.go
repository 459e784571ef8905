package order

import (
	"context"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/place/assign"
)

// An engine is what the holder knows of one incarnation of an engine. Its fields are guarded by the controller's lock.
type engine struct {
	id                deck.BackendName // never changes, and may be read without the lock
	server            deck.Server
	sendLock          chan struct{}                                     // one slot: orders and reports follow each other
	refreshing        bool                                              // a report is being read
	synced            bool                                              // a report was read in this term, and no order's fate is open
	ordersAccepted    uint64                                            // orders that the engine has accepted
	models            map[deck.ModelName]map[deck.AdapterName]time.Time // adapters with their last use
	cached            map[deck.ModelName]bool
	unloadSent        map[deck.ModelName]bool  // unloads that were sent since the last report; the list may still show the models
	loading           deck.ModelName           // empty for none
	unloading         deck.ModelName           // being unloaded; empty for none
	readyAt           time.Time                // estimate for the end of the load
	adaptersInTransit map[deck.AdapterRef]bool // adapters in transit
	adaptersUnloading map[deck.AdapterRef]bool // adapters that are unloaded once their runs have ended
	acceptedAt        time.Time                // when the last order was accepted; a report may be older than it says
	fenced            bool                     // a higher fencing token was seen: no more orders in this term
	retryAt           time.Time                // no order before
}

func newEngine(s deck.Server) *engine {
	return &engine{
		id: s.ID, server: s, sendLock: make(chan struct{}, 1), models: make(map[deck.ModelName]map[deck.AdapterName]time.Time),
		unloadSent: make(map[deck.ModelName]bool), cached: make(map[deck.ModelName]bool), adaptersInTransit: make(map[deck.AdapterRef]bool), adaptersUnloading: make(map[deck.AdapterRef]bool),
	}
}

// turn waits until no other order or report is on its way to the engine; it reports whether that came in time.
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

// setModels takes what the engine or the list says that it holds, and keeps when adapters were used.
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

// take notes a report that was read after the last order ended.
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
	clear(e.adaptersInTransit)
	for _, c := range st.Coming {
		e.adaptersInTransit[c] = true
	}
}

// adapters returns how many adapters take a place: held, on their way, or about to go.
func (e *engine) usedAdapterSlots() int {
	n := len(e.adaptersInTransit) + len(e.adaptersUnloading)
	for _, a := range e.models {
		n += len(a)
	}
	return n
}

// used returns the megabytes of all that is held or on its way.
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
	for c := range e.adaptersInTransit {
		if m, ok := spec.Model(c.Model); ok {
			total += m.AdapterMegabytes
		}
	}
	return total
}

// idle reports whether the engine can take an order about a model.
func (e *engine) available(now time.Time) bool {
	return e.synced && !e.fenced && !e.server.Draining && e.loading == "" && e.unloading == "" &&
		now.After(e.retryAt)
}

// needsScan reports whether a report is due: nothing is known, or adapters are about to go.
func (e *engine) needsRefresh(now time.Time) bool {
	return (!e.synced || len(e.adaptersUnloading) > 0) && !e.fenced && !e.refreshing && now.After(e.retryAt) &&
		now.Sub(e.acceptedAt) > maxReportLag
}

// view returns the engine as the planner sees it.
func (e *engine) snapshot(spec deck.EngineSpec, now time.Time) assign.Engine {
	v := assign.Engine{
		ID: e.id, DataCentre: e.server.DataCentre, Available: e.available(now), Models: make(map[deck.ModelName]bool),
		UsedMegabytes: e.usedMegabytes(spec), Cached: e.cached, Loading: e.loading, Unloading: e.unloading != "" && e.loading == "",
	}
	for m := range e.models {
		if m != e.unloading {
			v.Models[m] = true
		}
	}
	return v
}

// published returns the server as entry VMs should see it: without a model that is about to go or may have gone. An engine
// refuses calls for such a model while it waits for its runs.
func (e *engine) publishedServer() deck.Server {
	s := e.server
	s.Models = nil
	for _, h := range sortedModels(e.models) {
		if h.Name != e.unloading {
			s.Models = append(s.Models, h)
		}
	}
	return s
}
