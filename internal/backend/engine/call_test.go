package engine

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/api/inbound"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// TestOperate guards against an operation that may have run being reported as not run, and against sending it twice.
func TestOperate(t *testing.T) {
	for _, tc := range []struct {
		name    string
		h       http.HandlerFunc
		outcome deck.Outcome
		stale   bool
	}{
		{"accepted", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"accepted":true}`) }, deck.OutcomeDone, false},
		{"stale", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"stale":true}`) }, deck.OutcomeNotRun, true},
		{"reset after send", func(w http.ResponseWriter, _ *http.Request) { closeConn(w) }, deck.OutcomeUnknown, false},
		{"answer lost", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, deck.OutcomeUnknown, false},
		{"truncated answer", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"acc`) }, deck.OutcomeUnknown, false},
		{"error", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, deck.OutcomeUnknown, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var arrivals atomic.Int32
			h := func(w http.ResponseWriter, r *http.Request) { arrivals.Add(1); tc.h(w, r) }
			withEngine(t, h, func(t *testing.T, r *testEnv) {
				is := is.New(t)
				res := r.client.SendOperation(t.Context(), deck.Operation{ID: "o", Kind: deck.OpFence})
				is.Equal(res.Outcome, tc.outcome)
				is.Equal(res.StaleToken, tc.stale)
				is.Equal(arrivals.Load(), int32(1))
			})
		})
	}
	withEngine(t, nil, func(t *testing.T, r *testEnv) {
		is := is.New(t)
		_ = r.server.Close()
		is.Equal(r.client.SendOperation(t.Context(), deck.Operation{ID: "o"}).Outcome, deck.OutcomeNotRun)
	})
}

// TestUnaryRequests guards against reports, cache events and KV caches that are changed in transit, and against a cancel
// that is lost with its connection.
func TestUnaryRequests(t *testing.T) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /engine/report", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"backend":"e","boot-id":"b","taken-at":"2026-03-01T00:00:00Z","running":2}`)
	})
	mux.HandleFunc("GET /engine/cache-events", func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, `{"events":[{"sequence":8,"prefix":"9"}],"last":%s,"gap":true}`, r.FormValue("after"))
	})
	kv := map[string][]byte{}
	mux.HandleFunc("POST /engine/kv/{id}", func(_ http.ResponseWriter, r *http.Request) {
		kv[r.PathValue("id")], _ = io.ReadAll(r.Body)
	})
	mux.HandleFunc("GET /engine/kv/{id}", func(w http.ResponseWriter, r *http.Request) { _, _ = w.Write(kv[r.PathValue("id")]) })
	var cancels atomic.Int32
	mux.HandleFunc("POST /engine/cancel", func(w http.ResponseWriter, _ *http.Request) {
		if cancels.Add(1) == 1 {
			closeConn(w)
		}
	})
	withEngine(t, mux.ServeHTTP, func(t *testing.T, r *testEnv) {
		is := is.New(t)
		ctx := t.Context()
		report, err := r.client.Report(ctx)
		is.NoErr(err)
		is.Equal(report, deck.EngineReport{
			Backend: "e", BootID: "b", Running: 2, TakenAt: time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC),
		})
		events, err := r.client.CacheEvents(ctx, 7)
		is.NoErr(err)
		is.Equal(events, deck.CacheEvents{Events: []deck.CacheEvent{{Sequence: 8, Prefix: 9}}, LastSequence: 7, Gap: true})
		is.NoErr(r.client.ImportKV(ctx, "r/1", []byte("kv")))
		data, err := r.client.ExportKV(ctx, "r/1")
		is.NoErr(err)
		is.Equal(string(data), "kv")
		is.NoErr(r.client.Cancel(ctx, "r1")) // the first cancel is lost with its connection and sent again
		is.Equal(cancels.Load(), int32(2))
	})
}

// TestReportsTakeTheMemoryThatIsLeft guards against reports and cache events that together take a VM's memory, and against ordinary ones
// that are refused for them.
func TestReportsTakeTheMemoryThatIsLeft(t *testing.T) {
	const report = `{"backend":"e","boot-id":"b","taken-at":"2026-03-01T00:00:00Z"`
	for _, tc := range []struct {
		bytes      int
		full, read bool
	}{{4 << 10, true, true}, {100 << 10, false, true}, {100 << 10, true, false}, {300 << 10, false, false}} {
		h := func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, report+strings.Repeat(" ", tc.bytes)+"}")
		}
		withEngine(t, h, func(t *testing.T, r *testEnv) {
			is := is.New(t)
			memory := &inbound.Budget{Bytes: 32 << 20} // a quarter is for answers
			r.client.BoundMemory(memory)
			if tc.full {
				is.True(memory.Open(inbound.Answers, nil).Grow(8 << 20))
			}
			held := memory.Usage(inbound.Answers).Bytes
			_, err := r.client.Report(t.Context())
			is.Equal(err == nil, tc.read)
			_, err = r.client.CacheEvents(t.Context(), 0)
			is.Equal(err == nil, tc.read || !tc.full)
			is.Equal(memory.Usage(inbound.Answers).Bytes, held)
		})
	}
}
