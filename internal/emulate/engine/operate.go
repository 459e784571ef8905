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

// maxReportedOperations bounds the operation IDs in a report, which are the latest ones.
const maxReportedOperations = 64

func (e *Engine) startOperation(w http.ResponseWriter, r *http.Request) {
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
	w.Header().Set(wire.HeaderBootID, e.currentBootID())
	writeJSON(w, e.acceptOperation(op))
}

// acceptOperation acknowledges an operation, or refuses it if its fencing token is stale, and runs it in the background.
func (e *Engine) acceptOperation(op deck.Operation) wire.OperationAnswer {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.LoseOperations > 0 {
		e.faults.LoseOperations--
		return wire.OperationAnswer{Accepted: true}
	}
	if e.rejectStale(op) {
		return wire.OperationAnswer{Stale: true, Reason: "fencing token is older than the highest one seen"}
	}
	times := 1
	if e.faults.RepeatOperations {
		times = 2
	}
	processCtx, delay := e.processCtx, e.faults.DelayOperations
	for range times {
		e.group.Go(func() error {
			if !deck.Sleep(processCtx, delay) {
				return nil
			}
			e.runOperation(processCtx, op)
			return nil
		})
	}
	return wire.OperationAnswer{Accepted: true}
}

// rejectStale reports whether the operation's fencing token is stale, and otherwise records it as the highest one; an engine
// without ChecksFencing does neither. The caller holds e.mu.
func (e *Engine) rejectStale(op deck.Operation) bool {
	if !e.cfg.ChecksFencing {
		return false
	}
	if op.FencingToken < e.state.fencingToken {
		return true
	}
	e.state.fencingToken = op.FencingToken
	return false
}

// runOperation applies the operation and loads its model; it does nothing if the process has crashed, the fencing token has
// become stale or the operation was applied before.
func (e *Engine) runOperation(ctx context.Context, op deck.Operation) {
	e.mu.Lock()
	if ctx.Err() != nil || e.rejectStale(op) || e.state.applied[op.ID] {
		e.mu.Unlock()
		return
	}
	e.state.applied[op.ID] = true
	e.state.appliedOrder = append(e.state.appliedOrder, op.ID)
	e.apply(op)
	e.countOvercommit()
	e.mu.Unlock()
	if op.Kind != deck.OpLoadModel || !e.loadWeights(ctx, op) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	key := modelKey{op.Model, op.Version}
	if m, ok := e.state.models[key]; ok && ctx.Err() == nil {
		e.state.models[key] = residentModel{ready: true, bytes: m.bytes}
	}
}

// apply changes the state as the operation asks; the caller holds e.mu.
func (e *Engine) apply(op deck.Operation) {
	key := modelKey{op.Model, op.Version}
	switch op.Kind {
	case deck.OpLoadModel:
		if _, ok := e.state.models[key]; !ok {
			e.state.models[key] = residentModel{bytes: op.ResidentBytes, transient: op.TransientBytes}
		}
	case deck.OpUnloadModel:
		delete(e.state.models, key)
	case deck.OpLoadAdapter:
		e.state.adapters[op.Adapter] = op.ResidentBytes
	case deck.OpUnloadAdapter:
		delete(e.state.adapters, op.Adapter)
	case deck.OpSetRole:
		e.state.role = op.Role
	case deck.OpFence:
		e.state.fencingToken = max(e.state.fencingToken, op.FencingToken)
	}
}

func (e *Engine) countOvercommit() {
	if e.cfg.MemoryBytes > 0 && e.state.usedBytes() > e.cfg.MemoryBytes {
		e.overcommits++
	}
}

// loadWeights waits until the weights are loaded, retrying the weight store every second; it returns false if the emulated
// process crashed meanwhile.
func (e *Engine) loadWeights(ctx context.Context, op deck.Operation) bool {
	if e.cfg.WeightStore == "" {
		return deck.Sleep(ctx, e.cfg.LoadTime)
	}
	body, err := json.Marshal(map[string]int64{"bytes": int64(op.WeightBytes)})
	if err != nil {
		return false
	}
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.cfg.WeightStore+"/weight-store/load", bytes.NewReader(body))
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
		if !deck.Sleep(ctx, time.Second) {
			return false
		}
	}
}
