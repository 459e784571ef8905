package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// setModels sets the sizes of the models, and those that are held at the start.
func (e *engineServer) setModels(sizes, held string) {
	e.sizes, e.held = make(map[string]float64), make(map[string]bool)
	for field := range strings.SplitSeq(sizes, ",") {
		name, size, _ := strings.Cut(field, "=")
		e.sizes[name], _ = strconv.ParseFloat(size, 64) // the case sets it
	}
	for name := range strings.SplitSeq(held, ",") {
		if name != "" {
			e.held[name] = true
		}
	}
}

// sayHeld says which models are held.
func (e *engineServer) sayHeld() {
	e.say("holds", strings.Join(e.heldNames(), ","))
}

func (e *engineServer) heldNames() []string {
	e.modelsMu.Lock()
	defer e.modelsMu.Unlock()
	return e.sortedHeld()
}

// sortedHeld returns the names of the models held. The caller holds the lock.
func (e *engineServer) sortedHeld() []string {
	names := []string{}
	for name := range e.held {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (e *engineServer) holds(model string) bool {
	e.modelsMu.Lock()
	defer e.modelsMu.Unlock()
	return e.held[model] && e.unloading != model
}

// A heldModel is a model as a report or the platform's list shows it.
type heldModel struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

func heldModels(names []string) []heldModel {
	out := []heldModel{}
	for _, name := range names {
		out = append(out, heldModel{name, 1, []string{}})
	}
	return out
}

func (e *engineServer) report(w http.ResponseWriter) {
	e.modelsMu.Lock()
	names := e.sortedHeld()
	data, err := json.Marshal(map[string]any{
		"stage": "unified", "state": "ready", "born": e.born, "models": heldModels(names),
		"busy": e.loading != "" || e.unloading != "", "seq": e.accepted, "waiting": 0, "running": e.running.Load(), "kvUsed": 0,
		"kvTotal": 100_000, "handles": 0, "coming": []string{}, "atHand": map[string]any{"inMemory": []string{}, "onDisk": names},
	})
	e.modelsMu.Unlock()
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data) // the client asks again
}

func (e *engineServer) order(w http.ResponseWriter, r *http.Request) {
	// The fields have the names on the wire.
	var o struct {
		Operation, Model, Adapter, Holder string
		Expect                            *uint64
		Fence                             uint64
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.modelsMu.Lock()
	status := e.apply(o.Operation, o.Model, o.Expect, o.Fence)
	e.modelsMu.Unlock()
	e.say("order", o.Operation, o.Model, "by", o.Holder, "gets", strconv.Itoa(status))
	w.WriteHeader(status)
}

// apply carries out an order and returns the HTTP status. The caller holds the lock.
func (e *engineServer) apply(operation, model string, expect *uint64, fence uint64) int {
	switch {
	case fence < e.fence:
		return http.StatusPreconditionFailed
	case e.loading != "" || e.unloading != "" || expect != nil && *expect != e.accepted:
		return http.StatusConflict
	}
	e.fence = fence
	switch {
	case operation == "load" && e.held[model], operation == "unload" && !e.held[model]:
		return http.StatusOK
	case operation == "load":
		e.checkRoom(model)
		e.accepted++
		e.loading = model
		time.AfterFunc(e.loadTime, e.finish)
	case operation == "unload":
		e.accepted++
		e.unloading = model
		time.AfterFunc(100*time.Millisecond, e.finish)
	default:
		return http.StatusBadRequest
	}
	return http.StatusAccepted
}

// checkRoom crashes the engine if it is ordered to load more than it can hold. The caller holds the lock.
func (e *engineServer) checkRoom(model string) {
	sum := e.sizes[model]
	for name := range e.held {
		sum += e.sizes[name]
	}
	if sum > e.capacity {
		e.crash("overload", fmt.Sprintf("ordered to load %s beside %v: %.0f of %.0f MB", model, e.sortedHeld(), sum, e.capacity))
	}
}

// finish ends the order that is being carried out.
func (e *engineServer) finish() {
	e.modelsMu.Lock()
	if e.loading != "" {
		e.held[e.loading] = true
	}
	delete(e.held, e.unloading)
	e.loading, e.unloading = "", ""
	e.modelsMu.Unlock()
	e.sayHeld()
}
