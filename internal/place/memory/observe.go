package memory

import (
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Observe counts a report that was requested at the given time; it returns false for one older than the last.
func (l *Ledger) Observe(r deck.EngineReport, requestedAt time.Time, size Sizer) bool {
	if requestedAt.Before(l.requestedAt) {
		return false
	}
	restarted := l.lastReport.BootID != "" && r.BootID != l.lastReport.BootID
	if restarted {
		clear(l.items)
		l.restoreRecentLoads(requestedAt)
	}
	l.lastReport, l.requestedAt = r, requestedAt
	reported := reportedItems(r)
	l.releaseReservations(reported, requestedAt)
	l.addReported(reported, requestedAt, size)
	l.dropMissing(reported, requestedAt)
	l.ready = l.earlierHoldersFenced(r, requestedAt)
	return true
}

// restore makes recent loads outstanding again: a restarted engine has forgotten their IDs and would run a repeated
// message.
func (l *Ledger) restoreRecentLoads(requestedAt time.Time) {
	for id, r := range l.recentLoads {
		if requestedAt.Before(r.sentAt.Add(l.lifetime)) {
			r.endedAt = time.Time{}
			l.outstanding[id] = r
		}
	}
	clear(l.recentLoads)
}

// fenced reports whether operations of earlier holders can no longer take effect. Engines that ignore tokens may still
// run an operation one lifetime after the old lease ended, so only a report requested after that time shows the truth.
func (l *Ledger) earlierHoldersFenced(r deck.EngineReport, requestedAt time.Time) bool {
	if l.checksFencing {
		return r.FencingToken >= l.fencingToken
	}
	return !requestedAt.Before(l.takenOverAt.Add(l.lifetime))
}

// release drops the reservations of operations whose effect the report shows.
func (l *Ledger) releaseReservations(reported map[Item]deck.ResidentModel, requestedAt time.Time) {
	for id, r := range l.outstanding {
		if !l.finishedBy(r, requestedAt) {
			l.recordEnd(id, r, reported, requestedAt)
			continue
		}
		m, present := reported[ItemOf(r.op)]
		running := isLoad(r.op.Kind) && present && !m.Ready
		if running {
			continue
		}
		delete(l.outstanding, id)
		l.rememberLoad(id, r, requestedAt)
		if !isLoad(r.op.Kind) && !present {
			delete(l.items, ItemOf(r.op))
		}
	}
}

// remember keeps a settled load until its message can no longer be repeated.
func (l *Ledger) rememberLoad(id deck.OperationID, r reservation, requestedAt time.Time) {
	for old, o := range l.recentLoads {
		if !requestedAt.Before(o.sentAt.Add(l.lifetime)) {
			delete(l.recentLoads, old)
		}
	}
	if isLoad(r.op.Kind) && requestedAt.Before(r.sentAt.Add(l.lifetime)) {
		l.recentLoads[id] = r
	}
}

// over reports whether the operation could no longer start when a report was requested.
func (l *Ledger) finishedBy(r reservation, requestedAt time.Time) bool {
	ended := !r.endedAt.IsZero() && requestedAt.After(r.endedAt)
	expired := !requestedAt.Before(r.sentAt.Add(l.lifetime))
	return ended || expired
}

// noteEnd takes the end of a load from a report that shows the item ready; only a later report releases it.
func (l *Ledger) recordEnd(id deck.OperationID, r reservation, reported map[Item]deck.ResidentModel, requestedAt time.Time) {
	m, ok := reported[ItemOf(r.op)]
	if !ok || !m.Ready || !isLoad(r.op.Kind) || !r.endedAt.IsZero() {
		return
	}
	r.endedAt = requestedAt
	l.outstanding[id] = r
}

func (l *Ledger) addReported(reported map[Item]deck.ResidentModel, requestedAt time.Time, size Sizer) {
	for it, m := range reported {
		if l.Loading(it) {
			continue // counted by its reservation
		}
		e := l.items[it]
		e.bytes = max(e.bytes, m.Bytes, size(it))
		e.ready = m.Ready
		e.missingAt = time.Time{}
		if m.Ready && e.readyAt.IsZero() {
			e.readyAt = requestedAt
		}
		l.items[it] = e
	}
}

// forget drops items that the engine no longer reports. They stay counted for one lifetime after they went missing,
// because the larger of report and ledger counts.
func (l *Ledger) dropMissing(reported map[Item]deck.ResidentModel, requestedAt time.Time) {
	for it, e := range l.items {
		if _, ok := reported[it]; ok {
			continue
		}
		if e.missingAt.IsZero() {
			e.missingAt = requestedAt
			l.items[it] = e
			continue
		}
		if !requestedAt.Before(e.missingAt.Add(l.lifetime)) && !l.Busy(it) {
			delete(l.items, it)
		}
	}
}

// A Disagreement tells how an engine's last report differs from its ledger.
type Disagreement struct {
	ReportBytes deck.Bytes
	LedgerBytes deck.Bytes // items and reservations, without regard to the report
	Missing     []Item     // counted as resident, but not reported
}

// Disagreement returns the difference between report and ledger; ok is false if there is none.
func (l *Ledger) Disagreement() (d Disagreement, ok bool) {
	if l.requestedAt.IsZero() {
		return d, false
	}
	d.ReportBytes = l.lastReport.UsedBytes
	d.LedgerBytes = l.residentBytes() + l.reservedBytes()
	for it, e := range l.items {
		if !e.missingAt.IsZero() && !l.Busy(it) {
			d.Missing = append(d.Missing, it)
		}
	}
	return d, d.ReportBytes > d.LedgerBytes || len(d.Missing) > 0
}
