package engine

import (
	"encoding/json"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// TestRoundTrip guards against a field that the mapping drops in one direction.
func TestRoundTrip(t *testing.T) {
	at := time.Date(2026, 3, 1, 2, 3, 4, 5, time.UTC)
	op := deck.Operation{
		ID: "o", Kind: deck.OpSetRole, FencingToken: 7, NotAfter: at, Model: "m", Version: "v", Adapter: "a",
		Role: deck.RoleDecode, WeightBytes: 1, ResidentBytes: 2, TransientBytes: 3,
	}
	report := deck.EngineReport{
		Backend: "e", BootID: "b", TakenAt: at, Running: 1, Queued: 2, QueuedTokens: 3, UsedBytes: 4,
		Models:   []deck.ResidentModel{{Model: "m", Version: "v", Ready: true, Bytes: 5}},
		Adapters: []deck.AdapterName{"a"}, Role: deck.RolePrefill, Draining: true, FencingToken: 6,
		Operations: []deck.OperationID{"o"}, Software: "1.2",
	}
	events := deck.CacheEvents{
		Events: []deck.CacheEvent{{Sequence: 1, Prefix: math.MaxUint64, Evicted: true}}, LastSequence: 1, Gap: true,
	}
	is := is.New(t)
	gotOp, err := roundTrip(t, NewOperation(op)).Operation()
	is.NoErr(err)
	is.Equal(gotOp, op)
	gotReport, err := roundTrip(t, NewReport(report)).EngineReport()
	is.NoErr(err)
	is.Equal(gotReport, report)
	is.Equal(roundTrip(t, NewCacheEvents(events)).CacheEvents(), events)
}

// TestBadValues guards against accepting values that the domain types can't represent.
func TestBadValues(t *testing.T) {
	for _, tc := range []struct{ body, want string }{
		{`{"id":"o","kind":"explode"}`, "unknown kind"},
		{`{"id":"o","kind":"set-role","role":"chief"}`, "unknown role"},
		{`{"kind":"fence"}`, "id is missing"},
		{`{"id":"o","kind":"load-model","weight-bytes":-1}`, "negative"},
	} {
		is := is.New(t)
		var w Operation
		is.NoErr(json.Unmarshal([]byte(tc.body), &w))
		_, err := w.Operation()
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), tc.want))
	}
	for _, body := range []string{
		`{}`, `{"boot-id":"b","running":-1}`, `{"boot-id":"b","role":"x"}`, `{"boot-id":"b","running":9223372036854775807,"queued":1}`,
		`{"boot-id":"b","used-bytes":9223372036854775807}`, `{"boot-id":"b","models":[{"model":"m","bytes":-1}]}`,
	} {
		is := is.New(t)
		var w Report
		is.NoErr(json.Unmarshal([]byte(body), &w))
		_, err := w.EngineReport()
		is.True(err != nil)
	}
}

func roundTrip[T any](t *testing.T, v T) (out T) {
	t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(data, &out); err != nil {
		t.Fatal(err)
	}
	return out
}
