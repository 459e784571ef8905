package engine

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	wire "github.com/geraniumdeck/geraniumdeck/internal/wire/engine"
)

func loadOperation(id deck.OperationID, model deck.ModelName, bytes deck.Bytes, token uint64) deck.Operation {
	return deck.Operation{
		ID: id, Kind: deck.OpLoadModel, Model: model, Version: "v1", ResidentBytes: bytes, FencingToken: token,
	}
}

func waitFor(t *testing.T, what string, cond func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for !cond() {
		select {
		case <-ctx.Done():
			t.Fatalf("timed out waiting for %s", what)
		case <-tick.C:
		}
	}
}

func firstModelReady(e *Engine) bool {
	m := e.Report().Models
	return len(m) > 0 && m[0].Ready
}

func startEngine(t *testing.T, cfg Config) (*Engine, *httptest.Server) {
	t.Helper()
	cfg.LoadTime, cfg.PrefillTime, cfg.TokenInterval = time.Millisecond, time.Millisecond, time.Millisecond
	e := New(cfg)
	srv := httptest.NewServer(e.Handler())
	t.Cleanup(func() {
		srv.CloseClientConnections()
		e.Close()
		srv.Close()
	})
	return e, srv
}

func postCompletion(t *testing.T, url, body, lastEventID string) (string, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+wire.PathCompletions, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if lastEventID != "" {
		req.Header.Set(wire.HeaderLastEventID, lastEventID)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

// Guards against an overcommit that the emulator does not count, so that tests of placement miss it.
func TestReportsOvercommit(t *testing.T) {
	is := is.New(t)
	e, _ := startEngine(t, Config{MemoryBytes: 10})
	is.True(e.acceptOperation(loadOperation("a", "m1", 6, 1)).Accepted)
	is.True(e.acceptOperation(loadOperation("b", "m2", 6, 1)).Accepted)
	waitFor(t, "overcommit", func() bool { return e.Overcommits() > 0 })
}

// Guards against a ChecksFencing setting without effect, and against an operation that takes effect twice when it is delivered
// twice.
func TestFencingAndRepeats(t *testing.T) {
	for name, checks := range map[string]bool{"checks tokens": true, "ignores tokens": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e, _ := startEngine(t, Config{MemoryBytes: 100, ChecksFencing: checks})
			e.SetFaults(Faults{RepeatOperations: true})
			is.True(e.acceptOperation(loadOperation("a", "m1", 6, 5)).Accepted)
			waitFor(t, "load", func() bool { return len(e.Report().Models) == 1 })
			is.Equal(e.acceptOperation(loadOperation("b", "m2", 6, 4)).Stale, checks)
			is.Equal(e.Report().Operations[0], deck.OperationID("a"))
		})
	}
}

// Guards against a resumed stream that repeats or skips tokens after the Last-Event-ID.
func TestResumesAtOffset(t *testing.T) {
	is := is.New(t)
	e, srv := startEngine(t, Config{MemoryBytes: 100})
	e.acceptOperation(loadOperation("a", "m", 6, 1))
	waitFor(t, "load", func() bool { return firstModelReady(e) })
	body := `{"model":"m","max_tokens":4}`
	whole, err := postCompletion(t, srv.URL, body, "")
	is.NoErr(err)
	is.Equal(strings.Count(whole, "id: "), 5)
	rest, err := postCompletion(t, srv.URL, body, "1")
	is.NoErr(err)
	is.True(strings.HasPrefix(rest, "id: 2\n"))
	is.True(strings.HasSuffix(rest, "data: [DONE]\n\n"))
}

// Guards against a crash that leaves connections open or models resident.
func TestCrashDropsEverything(t *testing.T) {
	is := is.New(t)
	e, srv := startEngine(t, Config{MemoryBytes: 100})
	e.acceptOperation(loadOperation("a", "m", 6, 1))
	waitFor(t, "load", func() bool { return firstModelReady(e) })
	boot := e.Report().BootID
	e.SetFaults(Faults{CrashOn: "poison"})
	_, err := postCompletion(t, srv.URL, `{"model":"m","prompt":"poison"}`, "")
	is.True(err != nil)
	is.True(e.Report().BootID != boot)
	is.Equal(len(e.Report().Models), 0)
}

// Guards against a report-lag fault that returns fresh reports.
func TestLaggingReport(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	reports := []timedReport{
		{now, deck.EngineReport{Running: 1}}, {now.Add(time.Second), deck.EngineReport{Running: 2}},
	}
	is.Equal(reportAt(reports, now.Add(500*time.Millisecond)).Running, 1)
	is.Equal(reportAt(reports, now.Add(2*time.Second)).Running, 2)
}

// Guards against lost cache events that the reader is not notified of by a gap.
func TestCacheEventGaps(t *testing.T) {
	is := is.New(t)
	l := eventLog{cached: make(map[uint64]bool)}
	for i := range uint64(5) {
		l.add(i, 3)
	}
	is.True(l.after(0).Gap)
	is.True(!l.after(3).Gap)
	is.Equal(len(l.after(0).Events), 4)
}

// Guards against a software version that the header, the report or the tokens lack, and against one that changes without a restart.
func TestSoftwareVersion(t *testing.T) {
	is := is.New(t)
	e, srv := startEngine(t, Config{MemoryBytes: 100, Software: "v1"})
	for _, want := range []deck.SoftwareVersion{"v1", "v2"} {
		e.acceptOperation(loadOperation("a", "m", 6, 1))
		waitFor(t, "load", func() bool { return firstModelReady(e) })
		resp, err := http.Post(srv.URL+wire.PathCompletions, "application/json", strings.NewReader(`{"model":"m","max_tokens":1}`))
		is.NoErr(err)
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		_ = resp.Body.Close()
		is.Equal(resp.Header.Get(wire.HeaderSoftwareVersion), string(want))
		is.True(strings.Contains(string(body), "-0@"+string(want)+" "))
		e.SetFaults(Faults{Software: "v2"})
		is.Equal(e.Report().Software, want)
		e.Crash()
	}
}
