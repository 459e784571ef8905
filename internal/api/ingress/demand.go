package ingress

import (
	"sync"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A DemandCounter counts the work that callers requested of models since the last report, and the adapters in use; its zero
// value is empty.
type DemandCounter struct {
	mu          sync.Mutex
	models      map[modelKey]*deck.CallDemand
	adapterUses map[deck.AdapterUse]int
}

// A modelKey identifies a model of a service.
type modelKey struct {
	service deck.ServiceName
	model   deck.ModelName
}

// expectedOutputShare is the average share of a call's maximum tokens that is generated.
const expectedOutputShare = 0.5

// RecordCall adds the tokens that an engine is expected to read and generate for the call.
func (d *DemandCounter) RecordCall(s deck.ServiceName, c deck.Call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	demand := d.model(s, c.Model)
	demand.Calls++
	demand.Tokens += int(expectedTokens(c))
}

// expectedTokens returns the tokens that an engine is expected to read and generate for the call.
func expectedTokens(c deck.Call) float64 {
	return float64(max(1, c.PromptTokens+int(expectedOutputShare*float64(c.MaxTokens))))
}

// RecordStream counts a stream that has ended, and whether it was late.
func (d *DemandCounter) RecordStream(s deck.ServiceName, m deck.ModelName, late bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	demand := d.model(s, m)
	demand.Streams++
	if late {
		demand.LateStreams++
	}
}

// model returns the counts of the model; the caller holds the lock.
func (d *DemandCounter) model(s deck.ServiceName, m deck.ModelName) *deck.CallDemand {
	if d.models == nil {
		d.models = make(map[modelKey]*deck.CallDemand)
	}
	key := modelKey{s, m}
	if d.models[key] == nil {
		d.models[key] = &deck.CallDemand{Service: s, Model: m}
	}
	return d.models[key]
}

// Take returns what was counted for each model since the last call, and resets it.
func (d *DemandCounter) Take() []deck.CallDemand {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []deck.CallDemand
	for _, demand := range d.models {
		out = append(out, *demand)
	}
	d.models = nil
	return out
}

// BeginAdapterUse records that a call uses an adapter on a server.
func (d *DemandCounter) BeginAdapterUse(r deck.AdapterUse) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.adapterUses == nil {
		d.adapterUses = make(map[deck.AdapterUse]int)
	}
	d.adapterUses[r]++
}

// EndAdapterUse records the end of a call that BeginAdapterUse was called for.
func (d *DemandCounter) EndAdapterUse(r deck.AdapterUse) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.adapterUses[r]--
	if d.adapterUses[r] <= 0 {
		delete(d.adapterUses, r)
	}
}

// AdaptersInUse returns the adapters that calls in flight use.
func (d *DemandCounter) AdaptersInUse() []deck.AdapterUse {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []deck.AdapterUse
	for r := range d.adapterUses {
		out = append(out, r)
	}
	return out
}
