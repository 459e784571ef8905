package feed

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/test/decktest"
)

// Guards against payloads that are missed because their versions differ and the digests do not, and against polls that list
// the payloads although nothing differs.
func TestDigestDetectsDifferences(t *testing.T) {
	clock := &decktest.ManualClock{}
	payload := func(name string, dc deck.DataCentre, n uint64) Payload {
		return Payload{Name: name, DataCentre: dc, Version: PayloadVersion{Sequence: n}, Data: []byte("x")}
	}
	tests := map[string]struct {
		source, poller []Payload
		listPayloads   bool
	}{
		"both empty":             {nil, nil, false},
		"same":                   {[]Payload{payload("a", "", 1)}, []Payload{payload("a", "", 1)}, false},
		"newer":                  {[]Payload{payload("a", "", 2)}, []Payload{payload("a", "", 1)}, true},
		"missing":                {[]Payload{payload("a", "", 1)}, nil, true},
		"of another data centre": {[]Payload{payload("a", "wien-b", 1)}, nil, false},
		"of the data centre":     {[]Payload{payload("a", "graz-a", 1)}, nil, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			source := NewStore("s", clock, nil, deck.State{}, true)
			poller := NewStore("p", clock, nil, deck.State{}, true)
			for _, p := range tt.source {
				source.Publish(p)
			}
			for _, p := range tt.poller {
				poller.Publish(p)
			}
			c := NewClient(ClientConfig{Self: deck.Peer{Name: "p", DataCentre: "graz-a"}, Store: poller, Clock: clock})
			first := source.Serve(t.Context(), c.request(0))
			is.Equal(first.PayloadsDiffer, tt.listPayloads)
			is.Equal(len(first.Payloads), 0)
			c.listPayloads.Store(first.PayloadsDiffer)
			poller.ApplyResponse(clock.Now(), source.Serve(t.Context(), c.request(time.Nanosecond)))
			is.Equal(poller.payloadDigest("graz-a"), source.payloadDigest("graz-a"))
		})
	}
}
