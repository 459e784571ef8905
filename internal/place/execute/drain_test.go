package execute

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

type kvEngine struct {
	deck.Engine
	kv map[deck.RequestID][]byte
}

func (k kvEngine) ExportKV(_ context.Context, id deck.RequestID) ([]byte, error) {
	return k.kv[id], nil
}

func (k kvEngine) ImportKV(_ context.Context, id deck.RequestID, kv []byte) error {
	k.kv[id] = kv
	return nil
}

// Guards against copying a KV cache although the answer ends sooner, and against copying it to another leaving engine or to one of
// another software version.
func TestLongAnswerMovesToRemainingReplica(t *testing.T) {
	is := is.New(t)
	v := deck.ModelVersion{KVBytesPerToken: 128 * deck.KiB}
	a := RunningAnswer{ID: "r", Model: "m0", Version: "v1", Tokens: 8192, Remaining: 10 * time.Second}
	is.True(ShouldMove(a, v)) // 1 GiB
	a.Remaining = 2500 * time.Millisecond
	is.True(!ShouldMove(a, v))

	sim := newSimulation(testState(3, 3, true))
	sim.run(time.Minute)
	table, _ := sim.controller.Residency()
	from := table.Replicas("m0")[0].Backend
	kv := make(map[deck.BackendName]kvEngine)
	for name := range sim.fakes {
		kv[name] = kvEngine{kv: make(map[deck.RequestID][]byte)}
	}
	kv[from].kv["r"] = []byte("cache")
	e := New(Config{Engine: func(b deck.BackendServer) deck.Engine { return kv[b.Name] }})
	e.controller = sim.controller
	_, err := e.MoveAnswer(t.Context(), sim.fakes[from].backend, a)
	is.Equal(err, ErrNoReplica)
	sim.leaving = map[deck.BackendName]bool{from: true}
	sim.run(time.Minute)
	sim.controller.Residency()
	a.Software = "v2"
	_, err = e.MoveAnswer(t.Context(), sim.fakes[from].backend, a)
	is.Equal(err, ErrNoReplica)
	a.Software = ""
	to, err := e.MoveAnswer(t.Context(), sim.fakes[from].backend, a)
	is.NoErr(err)
	is.True(to != from)
	is.Equal(string(kv[to].kv["r"]), "cache")
}
