package execute

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Estimated costs of moving an answer between engines of one data centre.
const (
	// kvBytesPerSecond is the rate at which a KV cache is exported and imported over one connection.
	kvBytesPerSecond = float64(deck.GiB)
	// moveOverhead is the fixed time of the export, the import and the resumption of the stream.
	moveOverhead = 2 * time.Second
)

// ErrNoReplica is returned when no engine that stays has a ready replica of the model version and the answer's software version.
var ErrNoReplica = errors.New("no other engine of the software version has a ready replica of the model version")

// A RunningAnswer describes an answer that is running on a leaving engine, as known to its entry VM.
type RunningAnswer struct {
	ID        deck.RequestID
	Model     deck.ModelName
	Version   deck.VersionName
	Tokens    int                  // tokens in the KV cache: the prompt and the answer so far
	Remaining time.Duration        // estimated time to the end of the answer
	Software  deck.SoftwareVersion // that began the answer
}

// ShouldMove reports whether moving the answer's KV cache takes less time than waiting for the end of the answer.
func ShouldMove(a RunningAnswer, v deck.ModelVersion) bool {
	bytes := float64(a.Tokens) * float64(v.KVBytesPerToken)
	move := moveOverhead + time.Duration(bytes/kvBytesPerSecond*float64(time.Second))
	return move < a.Remaining
}

// MoveAnswer copies the answer's KV cache from a leaving engine to the least loaded engine that stays, holds the same version of
// the model ready and has reported the software version that began the answer. It returns the name of that engine. The entry VM
// then resumes the stream there; until then, the answer continues on the leaving engine.
func (e *Executor) MoveAnswer(ctx context.Context, from deck.BackendServer, a RunningAnswer) (deck.BackendName, error) {
	to, ok := e.moveTarget(from.Name, a)
	if !ok {
		return "", ErrNoReplica
	}
	kv, err := e.cfg.Engine(from).ExportKV(ctx, a.ID)
	if err != nil {
		return "", errors.Wrapf(err, "export KV cache from %s", from.Name)
	}
	if err := e.cfg.Engine(to).ImportKV(ctx, a.ID, kv); err != nil {
		return "", errors.Wrapf(err, "import KV cache to %s", to.Name)
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
	software := func(eng *engine) deck.SoftwareVersion {
		r, _, _ := eng.ledger.Report()
		return r.Software
	}
	for _, r := range e.controller.residency.Replicas(a.Model) {
		eng, ok := e.controller.engines[r.Backend]
		if !ok || !r.Ready || r.Version != a.Version || r.Backend == from || eng.leaving || software(eng) != a.Software {
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
