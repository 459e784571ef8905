package execute

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Costs of moving an answer between engines of one data centre.
const (
	// kvBytesPerSecond is the rate at which a KV cache is exported and imported over one connection.
	kvBytesPerSecond = float64(deck.GiB)
	// moveOverhead is the time for the export, the import and the resumed stream beside the bytes.
	moveOverhead = 2 * time.Second
)

// ErrNoReplica means that no staying engine holds the model's version ready.
var ErrNoReplica = errors.New("no other engine holds the model")

// A RunningAnswer is a running answer on a leaving engine, as the entry VM that holds it knows it.
type RunningAnswer struct {
	ID        deck.RequestID
	Model     deck.ModelName
	Version   deck.VersionName
	Tokens    int           // in the KV cache: prompt and answer so far
	Remaining time.Duration // estimated time to the end of the answer
}

// ShouldMove reports whether moving the answer's KV cache takes less time than waiting for its end.
func ShouldMove(a RunningAnswer, v deck.ModelVersion) bool {
	bytes := float64(a.Tokens) * float64(v.KVBytesPerToken)
	move := moveOverhead + time.Duration(bytes/kvBytesPerSecond*float64(time.Second))
	return move < a.Remaining
}

// MoveAnswer copies the answer's KV cache from a leaving engine to the least loaded engine that stays and holds the same
// version, and returns that engine's name; the entry VM then resumes the stream there. The answer goes on running where
// it is until then.
func (e *Executor) MoveAnswer(ctx context.Context, from deck.BackendServer, a RunningAnswer) (deck.BackendName, error) {
	to, ok := e.moveTarget(from.Name, a)
	if !ok {
		return "", ErrNoReplica
	}
	kv, err := e.cfg.Engine(from).ExportKV(ctx, a.ID)
	if err != nil {
		return "", errors.Wrapf(err, "export from %s", from.Name)
	}
	if err := e.cfg.Engine(to).ImportKV(ctx, a.ID, kv); err != nil {
		return "", errors.Wrapf(err, "import to %s", to.Name)
	}
	return to.Name, nil
}

func (e *Executor) moveTarget(from deck.BackendName, a RunningAnswer) (deck.BackendServer, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var best *engine
	load := func(eng *engine) int {
		r, _, _ := eng.ledger.Report()
		return r.Running + r.Queued
	}
	for _, r := range e.controller.residency.Replicas(a.Model) {
		eng, ok := e.controller.engines[r.Backend]
		if !ok || !r.Ready || r.Version != a.Version || r.Backend == from || eng.leaving {
			continue
		}
		if best == nil || load(eng) < load(best) {
			best = eng
		}
	}
	if best == nil {
		return deck.BackendServer{}, false
	}
	return best.backend, true
}
