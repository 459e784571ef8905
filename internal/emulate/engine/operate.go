package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	wire "github.com/geraniumdeck/geraniumdeck/internal/wire/engine"
)

// maxReportedOperations bounds the operation IDs in a report.
const maxReportedOperations = 64

func (e *Engine) operate(w http.ResponseWriter, r *http.Request) {
	var body wire.Operation
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, wire.MaxJSONBytes)).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	op, err := body.Operation()
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set(wire.HeaderBootID, e.bootID())
	writeJSON(w, e.accept(op))
}

// accept handles an operation that arrived on the wire and returns the answer.
func (e *Engine) accept(op deck.Operation) wire.OperationAnswer {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.LoseOperations > 0 {
		e.faults.LoseOperations--
		return wire.OperationAnswer{Accepted: true}
	}
	if e.stale(op) {
		return wire.OperationAnswer{Stale: true, Reason: "fencing token is older than the highest one seen"}
	}
	times := 1
	if e.faults.RepeatOperations {
		times = 2
	}
	life, delay := e.life, e.faults.DelayOperations
	for range times {
		e.group.Go(func() error {
			if !deck.Sleep(life, delay) {
				return nil
			}
			e.begin(life, op)
			return nil
		})
	}
	return wire.OperationAnswer{Accepted: true}
}

// stale reports whether the engine refuses the operation; the caller holds the lock.
func (e *Engine) stale(op deck.Operation) bool {
	if !e.cfg.ChecksFencing {
		return false
	}
	if op.FencingToken < e.memory.token {
		return true
	}
	e.memory.token = op.FencingToken
	return false
}

// begin runs the operation at the moment it takes effect.
func (e *Engine) begin(life context.Context, op deck.Operation) {
	e.mu.Lock()
	if life.Err() != nil || e.stale(op) || e.memory.seen[op.ID] {
		e.mu.Unlock()
		return
	}
	e.memory.seen[op.ID] = true
	e.memory.order = append(e.memory.order, op.ID)
	e.apply(op)
	e.checkMemory()
	e.mu.Unlock()
	if op.Kind != deck.OpLoadModel || !e.load(life, op) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	key := modelKey{op.Model, op.Version}
	if m, ok := e.memory.models[key]; ok && life.Err() == nil {
		e.memory.models[key] = resident{ready: true, bytes: m.bytes}
	}
}

// apply changes the memory as the operation asks; the caller holds the lock.
func (e *Engine) apply(op deck.Operation) {
	key := modelKey{op.Model, op.Version}
	switch op.Kind {
	case deck.OpLoadModel:
		if _, ok := e.memory.models[key]; !ok {
			e.memory.models[key] = resident{bytes: op.ResidentBytes, transient: op.TransientBytes}
		}
	case deck.OpUnloadModel:
		delete(e.memory.models, key)
	case deck.OpLoadAdapter:
		e.memory.adapters[op.Adapter] = op.ResidentBytes
	case deck.OpUnloadAdapter:
		delete(e.memory.adapters, op.Adapter)
	case deck.OpSetRole:
		e.memory.role = op.Role
	case deck.OpFence:
		e.memory.token = max(e.memory.token, op.FencingToken)
	}
}

func (e *Engine) checkMemory() {
	if e.cfg.MemoryBytes > 0 && e.memory.used() > e.cfg.MemoryBytes {
		e.overcommits++
	}
}

// load waits while the weights are loaded; it returns false if the emulated process crashed meanwhile.
func (e *Engine) load(life context.Context, op deck.Operation) bool {
	if e.cfg.WeightStore == "" {
		return deck.Sleep(life, e.cfg.LoadTime)
	}
	body, err := json.Marshal(map[string]int64{"bytes": int64(op.WeightBytes)})
	if err != nil {
		return false
	}
	for {
		req, err := http.NewRequestWithContext(life, http.MethodPost, e.cfg.WeightStore+"/weight-store/load", bytes.NewReader(body))
		if err != nil {
			return false
		}
		resp, err := e.client.Do(req)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return true
			}
		}
		if !deck.Sleep(life, time.Second) {
			return false
		}
	}
}
