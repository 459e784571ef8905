package placement

import (
	"slices"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// An engine is a simulated engine that batches continuously.
type engine struct {
	backend deck.BackendServer
	models  map[deck.ModelName]*replica
	running []float64 // tokens left of each stream
	queue   []request
	token   uint64
	moves   int
}

// A replica is a model on a simulated engine.
type replica struct {
	op    deck.Operation
	ready time.Time
}

// A request waits for an engine.
type request struct {
	at     float64
	tokens float64
	cold   bool
}

// batch is the number of streams that an engine runs within the accepted time between tokens, engineRate * tokenTime.
const batch = 101

func (e *engine) load() int {
	return len(e.running) + len(e.queue)
}

// step runs the engine for a time in seconds and calls done for each request that starts.
func (e *engine) step(now, dt float64, done func(r request, wait float64)) {
	for len(e.queue) > 0 && len(e.running) < batch {
		r := e.queue[0]
		e.queue = e.queue[1:]
		done(r, now-r.at+promptTime)
		if now-r.at <= patience {
			e.running = append(e.running, r.tokens)
		}
	}
	if len(e.running) == 0 {
		return
	}
	each := min(streamRate, engineRate/float64(len(e.running))) * dt
	for i := range e.running {
		e.running[i] -= each
	}
	e.running = slices.DeleteFunc(e.running, func(left float64) bool { return left <= 0 })
}

// operate runs an operation at once; a load becomes ready after its weights are read.
func (e *engine) operate(op deck.Operation, now time.Time) {
	e.token = max(e.token, op.FencingToken)
	switch op.Kind {
	case deck.OpLoadModel:
		e.moves++
		seconds := float64(op.WeightBytes) / float64(deck.GiB) / loadRate
		e.models[op.Model] = &replica{op: op, ready: now.Add(time.Duration(seconds * float64(time.Second)))}
	case deck.OpUnloadModel:
		delete(e.models, op.Model)
	default:
	}
}

func (e *engine) ready(m deck.ModelName, now time.Time) bool {
	r, ok := e.models[m]
	return ok && !now.Before(r.ready)
}

func (e *engine) report(now time.Time) deck.EngineReport {
	r := deck.EngineReport{Backend: e.backend.Name, BootID: "a", TakenAt: now, FencingToken: e.token, Running: e.load()}
	for m, p := range e.models {
		loading := now.Before(p.ready)
		r.Models = append(r.Models, deck.ResidentModel{Model: m, Version: p.op.Version, Ready: !loading, Bytes: p.op.ResidentBytes})
		r.UsedBytes += p.op.ResidentBytes
		if loading {
			r.UsedBytes += p.op.TransientBytes
		}
	}
	return r
}
