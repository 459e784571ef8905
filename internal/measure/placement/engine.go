package placement

import (
	"slices"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// An engine is a simulated engine with continuous batching.
type engine struct {
	backend      deck.BackendServer
	replicas     map[deck.ModelName]*replica
	running      []float64 // tokens left to generate in each stream
	queue        []request
	fencingToken uint64
	loadCount    int
}

// A replica is a model that is loaded or loading on a simulated engine.
type replica struct {
	op      deck.Operation
	readyAt time.Time
}

// A request is queued on an engine; its times are in seconds.
type request struct {
	arrivedAt float64
	tokens    float64
	cold      bool
}

// maxStreams is the largest number of streams at which an engine keeps to the accepted time between tokens:
// engineTokensPerSecond * tokenGapSeconds.
const maxStreams = 101

func (e *engine) inFlight() int {
	return len(e.running) + len(e.queue)
}

// step runs the engine for dt seconds and calls onStart with the time to the first token, in seconds, of each request that
// leaves the queue. Requests that waited longer than maxQueueSeconds are then dropped.
func (e *engine) step(now, dt float64, onStart func(r request, wait float64)) {
	for len(e.queue) > 0 && len(e.running) < maxStreams {
		r := e.queue[0]
		e.queue = e.queue[1:]
		onStart(r, now-r.arrivedAt+prefillSeconds)
		if now-r.arrivedAt <= maxQueueSeconds {
			e.running = append(e.running, r.tokens)
		}
	}
	if len(e.running) == 0 {
		return
	}
	tokensPerStream := min(streamTokensPerSecond, engineTokensPerSecond/float64(len(e.running))) * dt
	for i := range e.running {
		e.running[i] -= tokensPerStream
	}
	e.running = slices.DeleteFunc(e.running, func(left float64) bool { return left <= 0 })
}

// apply applies an operation immediately; a loaded model becomes ready once its weights are read.
func (e *engine) apply(op deck.Operation, now time.Time) {
	e.fencingToken = max(e.fencingToken, op.FencingToken)
	switch op.Kind {
	case deck.OpLoadModel:
		e.loadCount++
		seconds := float64(op.WeightBytes) / float64(deck.GiB) / loadGiBPerSecond
		e.replicas[op.Model] = &replica{op: op, readyAt: now.Add(time.Duration(seconds * float64(time.Second)))}
	case deck.OpUnloadModel:
		delete(e.replicas, op.Model)
	default:
	}
}

func (e *engine) isReady(m deck.ModelName, now time.Time) bool {
	r, ok := e.replicas[m]
	return ok && !now.Before(r.readyAt)
}

func (e *engine) report(now time.Time) deck.EngineReport {
	r := deck.EngineReport{Backend: e.backend.Name, BootID: "a", TakenAt: now, FencingToken: e.fencingToken, Running: e.inFlight()}
	for m, resident := range e.replicas {
		loading := now.Before(resident.readyAt)
		r.Models = append(r.Models, deck.ResidentModel{
			Model: m, Version: resident.op.Version, Ready: !loading, Bytes: resident.op.ResidentBytes,
		})
		r.UsedBytes += resident.op.ResidentBytes
		if loading {
			r.UsedBytes += resident.op.TransientBytes
		}
	}
	return r
}
