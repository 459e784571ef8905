package memory

import (
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// ApplyReport updates the ledger from a report that was requested at the given time. It returns false, and does nothing, if the
// report was requested before the last one.
func (l *Ledger) ApplyReport(r deck.EngineReport, requestedAt time.Time, size Sizer) bool {
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
	l.takenOver = l.earlierHoldersFenced(r, requestedAt)
	return true
}

// restoreRecentLoads makes recent loads outstanding again. A restarted engine no longer knows their IDs, so that it would run
// them again if their messages were repeated.
func (l *Ledger) restoreRecentLoads(requestedAt time.Time) {
	for id, r := range l.recentLoads {
		if requestedAt.Before(r.sentAt.Add(l.lifetime)) {
			r.endedAt = time.Time{}
			l.outstanding[id] = r
		}
	}
	clear(l.recentLoads)
}

// earlierHoldersFenced reports whether operations of earlier lease holders can no longer take effect. Engines that ignore
// tokens may still run an operation one lifetime after the old lease ended, so only a report requested after that is reliable.
func (l *Ledger) earlierHoldersFenced(r deck.EngineReport, requestedAt time.Time) bool {
	if l.checksFencing {
		return r.FencingToken >= l.fencingToken
	}
	return !requestedAt.Before(l.takeoverStart.Add(l.lifetime))
}

// releaseReservations drops the reservations of operations that could no longer start, and were not running, when the report
// was requested. It also drops the item of such an unload if the report is without the item.
func (l *Ledger) releaseReservations(reported map[Item]deck.ResidentModel, requestedAt time.Time) {
	for id, r := range l.outstanding {
		if !l.cannotStart(r, requestedAt) {
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

// rememberLoad keeps a finished load until its message can no longer be repeated.
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

// cannotStart reports whether the operation could no longer start when a report was requested.
func (l *Ledger) cannotStart(r reservation, requestedAt time.Time) bool {
	ended := !r.endedAt.IsZero() && requestedAt.After(r.endedAt)
	expired := !requestedAt.Before(r.sentAt.Add(l.lifetime))
	return ended || expired
}

// recordEnd records the end of a load whose item the report shows ready. Only a later report releases the reservation.
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

// dropMissing drops items that the engine no longer reports: once a report is without them that was requested at least one
// lifetime after the first such report, unless an operation on them is outstanding. Until then they stay counted, since the
// larger figure of report and ledger applies.
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

// A Disagreement is the difference between an engine's last report and its ledger.
type Disagreement struct {
	ReportBytes deck.Bytes
	LedgerBytes deck.Bytes // of resident items and reservations, regardless of the report
	Missing     []Item     // counted as resident but not reported
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
