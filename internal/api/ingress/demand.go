package ingress

import (
	"sync"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Demand counts the calls for models since the last report; its zero value has counted none.
type Demand struct {
	mu     sync.Mutex
	tokens map[DemandKey]int
	runs   map[deck.AdapterRun]int
}

// A DemandKey names a model or adapter of a service.
type DemandKey struct {
	Service deck.ServiceName
	Model   deck.ModelName
	Adapter deck.AdapterName
}

// generatedShare of the tokens that a call may generate are generated on average.
const expectedOutputShare = 0.5

// Count adds a call, weighed by the tokens that an engine has to read and generate for it.
func (d *Demand) RecordCall(s deck.ServiceName, c deck.Call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.tokens == nil {
		d.tokens = make(map[DemandKey]int)
	}
	d.tokens[DemandKey{s, c.Model, c.Adapter}] += max(1, c.PromptTokens+int(expectedOutputShare*float64(c.MaxTokens)))
}

// Take returns the counts and starts anew.
func (d *Demand) Take() map[DemandKey]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := d.tokens
	d.tokens = nil
	return out
}

// Began notes that a call uses an adapter at a server.
func (d *Demand) BeginAdapterRun(r deck.AdapterRun) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.runs == nil {
		d.runs = make(map[deck.AdapterRun]int)
	}
	d.runs[r]++
}

// Ended notes the end of a call that Began was called for.
func (d *Demand) EndAdapterRun(r deck.AdapterRun) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runs[r]--
	if d.runs[r] <= 0 {
		delete(d.runs, r)
	}
}

// Running returns the adapters that calls use now.
func (d *Demand) Running() []deck.AdapterRun {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []deck.AdapterRun
	for r := range d.runs {
		out = append(out, r)
	}
	return out
}
