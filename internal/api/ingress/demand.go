package ingress

import (
	"sync"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A DemandCounter counts the tokens that callers requested of models since the last report, and the adapters in use; its zero
// value is empty.
type DemandCounter struct {
	mu          sync.Mutex
	tokens      map[DemandKey]int
	adapterUses map[deck.AdapterUse]int
}

// A DemandKey identifies a model or adapter of a service.
type DemandKey struct {
	Service deck.ServiceName
	Model   deck.ModelName
	Adapter deck.AdapterName
}

// expectedOutputShare is the average share of a call's maximum tokens that is generated.
const expectedOutputShare = 0.5

// RecordCall adds the tokens that an engine is expected to read and generate for the call.
func (d *DemandCounter) RecordCall(s deck.ServiceName, c deck.Call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.tokens == nil {
		d.tokens = make(map[DemandKey]int)
	}
	d.tokens[DemandKey{s, c.Model, c.Adapter}] += max(1, c.PromptTokens+int(expectedOutputShare*float64(c.MaxTokens)))
}

// Take returns the tokens counted since the last call by model and adapter, and resets them.
func (d *DemandCounter) Take() map[DemandKey]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := d.tokens
	d.tokens = nil
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
