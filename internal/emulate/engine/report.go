package engine

import (
	"net/http"
	"strconv"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	wire "github.com/geraniumdeck/geraniumdeck/internal/wire/engine"
)

// maxReports bounds the reports kept for the report-lag fault.
const maxReports = 4096

type timedReport struct {
	at     time.Time
	report deck.EngineReport
}

// Report returns the engine's current report without lag.
func (e *Engine) Report() deck.EngineReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.currentReport(time.Now())
}

func (e *Engine) currentBootID() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.bootID
}

// currentReport returns the report at time now; the caller holds e.mu.
func (e *Engine) currentReport(now time.Time) deck.EngineReport {
	ops := e.state.appliedOrder
	if len(ops) > maxReportedOperations {
		ops = ops[len(ops)-maxReportedOperations:]
	}
	return deck.EngineReport{
		Backend:      e.cfg.Backend,
		BootID:       e.bootID,
		TakenAt:      now,
		Running:      len(e.batch.requests) - len(e.batch.waiting),
		Queued:       len(e.batch.waiting),
		QueuedTokens: e.batch.queuedTokens(),
		UsedBytes:    e.state.usedBytes(),
		Models:       e.state.residentModels(),
		Adapters:     e.state.adapterNames(),
		Role:         e.state.role,
		Draining:     e.faults.Draining,
		FencingToken: e.state.fencingToken,
		Operations:   append([]deck.OperationID(nil), ops...),
		Software:     e.software,
	}
}

func (e *Engine) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	now := time.Now()
	out := e.currentReport(now)
	e.reports = append(e.reports, timedReport{now, out})
	if len(e.reports) > maxReports {
		e.reports = e.reports[1:]
	}
	if e.faults.ReportLag > 0 {
		out = reportAt(e.reports, now.Add(-e.faults.ReportLag))
	}
	bootID := e.bootID
	e.mu.Unlock()
	w.Header().Set(wire.HeaderBootID, bootID)
	writeJSON(w, wire.NewReport(out))
}

// reportAt returns the newest report taken at or before the given time, or the oldest report if there is none.
func reportAt(reports []timedReport, at time.Time) deck.EngineReport {
	out := reports[0].report
	for _, r := range reports {
		if r.at.After(at) {
			break
		}
		out = r.report
	}
	return out
}

// eventLog holds the cached prefixes and the latest prefix-cache events.
type eventLog struct {
	events       []deck.CacheEvent
	lastSequence uint64
	cached       map[uint64]bool
}

// maxCacheEvents bounds the events that are kept; a reader that is further behind sees a gap.
const maxCacheEvents = 1024

// add records a prefix as cached; if dropEvery is positive, it drops the events whose sequence number is a multiple of it.
func (l *eventLog) add(prefix uint64, dropEvery int) {
	if l.cached[prefix] {
		return
	}
	l.cached[prefix] = true
	l.lastSequence++
	if dropEvery > 0 && l.lastSequence%uint64(dropEvery) == 0 {
		return
	}
	l.events = append(l.events, deck.CacheEvent{Sequence: l.lastSequence, Prefix: prefix})
	if len(l.events) > maxCacheEvents {
		l.events = l.events[1:]
	}
}

// after returns the events with a sequence number above n, and whether any of those are missing.
func (l *eventLog) after(n uint64) deck.CacheEvents {
	out := deck.CacheEvents{LastSequence: l.lastSequence}
	next := n + 1
	for _, ev := range l.events {
		if ev.Sequence <= n {
			continue
		}
		out.Gap = out.Gap || ev.Sequence != next
		next = ev.Sequence + 1
		out.Events = append(out.Events, ev)
	}
	out.Gap = out.Gap || next != l.lastSequence+1
	return out
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	n, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: expected a sequence number", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	out := e.events.after(n)
	bootID := e.bootID
	e.mu.Unlock()
	w.Header().Set(wire.HeaderBootID, bootID)
	writeJSON(w, wire.NewCacheEvents(out))
}
