package engine

import (
	"net/http"
	"strconv"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	wire "github.com/geraniumdeck/geraniumdeck/internal/wire/engine"
)

// maxReports bounds the reports kept for the lag fault.
const maxReports = 4096

type timedReport struct {
	at     time.Time
	report deck.EngineReport
}

// Report returns the engine's present report without lag.
func (e *Engine) Report() deck.EngineReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.present(time.Now())
}

func (e *Engine) bootID() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.boot
}

// present returns the report of this moment; the caller holds the lock.
func (e *Engine) present(now time.Time) deck.EngineReport {
	ops := e.memory.order
	if len(ops) > maxReportedOperations {
		ops = ops[len(ops)-maxReportedOperations:]
	}
	return deck.EngineReport{
		Backend:      e.cfg.Backend,
		BootID:       e.boot,
		TakenAt:      now,
		Running:      len(e.batch.running) - len(e.batch.waiting),
		Queued:       len(e.batch.waiting),
		QueuedTokens: e.batch.queuedTokens(),
		UsedBytes:    e.memory.used(),
		Models:       e.memory.list(),
		Adapters:     e.memory.adapterNames(),
		Role:         e.memory.role,
		Draining:     e.faults.Draining,
		FencingToken: e.memory.token,
		Operations:   append([]deck.OperationID(nil), ops...),
	}
}

func (e *Engine) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	now := time.Now()
	out := e.present(now)
	e.reports = append(e.reports, timedReport{now, out})
	if len(e.reports) > maxReports {
		e.reports = e.reports[1:]
	}
	if e.faults.ReportLag > 0 {
		out = lagging(e.reports, now.Add(-e.faults.ReportLag))
	}
	boot := e.boot
	e.mu.Unlock()
	w.Header().Set(wire.HeaderBootID, boot)
	writeJSON(w, wire.NewReport(out))
}

// lagging returns the newest report that is not younger than the given time, or the oldest one.
func lagging(reports []timedReport, at time.Time) deck.EngineReport {
	out := reports[0].report
	for _, r := range reports {
		if r.at.After(at) {
			break
		}
		out = r.report
	}
	return out
}

// eventLog keeps prefix-cache events.
type eventLog struct {
	events []deck.CacheEvent
	last   uint64
	known  map[uint64]bool
}

// maxEvents bounds the events that are kept; a reader further behind sees a gap.
const maxEvents = 1024

// store records a prefix as cached; every n-th event is lost if dropEvery is n.
func (l *eventLog) store(prefix uint64, dropEvery int) {
	if l.known[prefix] {
		return
	}
	l.known[prefix] = true
	l.last++
	if dropEvery > 0 && l.last%uint64(dropEvery) == 0 {
		return
	}
	l.events = append(l.events, deck.CacheEvent{Sequence: l.last, Prefix: prefix})
	if len(l.events) > maxEvents {
		l.events = l.events[1:]
	}
}

// after returns the events behind a sequence number.
func (l *eventLog) after(n uint64) deck.CacheEvents {
	out := deck.CacheEvents{Last: l.last}
	next := n + 1
	for _, ev := range l.events {
		if ev.Sequence <= n {
			continue
		}
		out.Gap = out.Gap || ev.Sequence != next
		next = ev.Sequence + 1
		out.Events = append(out.Events, ev)
	}
	out.Gap = out.Gap || next != l.last+1
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
	boot := e.boot
	e.mu.Unlock()
	w.Header().Set(wire.HeaderBootID, boot)
	writeJSON(w, wire.NewCacheEvents(out))
}
