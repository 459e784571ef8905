package machine

import (
	"maps"
	"slices"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/command"
)

// Limits of poison-request detection.
const (
	PoisonExpiry     = 10 * time.Minute // after the digest's last crash
	MaxPoisonRows    = 4096
	poisonCrashes    = 3 // crashes after which a digest is refused
	poisonWithAlone  = 2 // crashes after which it is refused if it ran alone in one of them
	maxCrashesPerRow = 16
)

// A PoisonRow is a refused request digest.
type PoisonRow struct {
	Digest string
	Until  time.Time // by the control leader's wall clock
}

// A crash is one crash of a backend server process while a request was in flight there.
type crash struct {
	backend deck.BackendName
	id      string // boot ID, or the report's ID where the boot ID is not known
	alone   bool
}

type poisonRow struct {
	crashes []crash
	until   time.Time
}

func (r *poisonRow) refused() bool {
	alone := slices.ContainsFunc(r.crashes, func(c crash) bool { return c.alone })
	return len(r.crashes) >= poisonCrashes || alone && len(r.crashes) >= poisonWithAlone
}

// poison holds the requests that were in flight at crashes.
type poison struct {
	rows    map[string]*poisonRow
	changed uint64 // log index of the last change of the refused digests
}

func newPoison() poison {
	return poison{rows: make(map[string]*poisonRow)}
}

// report counts a crash once and tells whether the set of refused digests or an expiry in it has changed.
func (p *poison) report(now time.Time, index uint64, c command.ReportCrash) bool {
	maps.DeleteFunc(p.rows, func(_ string, r *poisonRow) bool { return !now.Before(r.until) })
	row, ok := p.rows[c.Digest]
	if !ok {
		p.makeRoom()
		row = &poisonRow{}
		p.rows[c.Digest] = row
	}
	if !row.count(c) {
		return false
	}
	row.until = now.Add(PoisonExpiry)
	if row.refused() {
		p.changed = index
		return true
	}
	return false
}

// count adds a crash and reports whether it was new.
func (r *poisonRow) count(c command.ReportCrash) bool {
	id := c.BootID
	if id == "" {
		id = c.Report
	}
	for i := range r.crashes {
		if r.crashes[i].backend == c.Backend && r.crashes[i].id == id {
			added := c.Alone && !r.crashes[i].alone
			r.crashes[i].alone = r.crashes[i].alone || c.Alone
			return added
		}
	}
	if len(r.crashes) < maxCrashesPerRow {
		r.crashes = append(r.crashes, crash{c.Backend, id, c.Alone})
	}
	return true
}

// makeRoom drops the row that expires first, and a refused one only if all are refused.
func (p *poison) makeRoom() {
	if len(p.rows) < MaxPoisonRows {
		return
	}
	victim := ""
	for _, d := range slices.Sorted(maps.Keys(p.rows)) {
		if victim == "" || p.dropsBefore(d, victim) {
			victim = d
		}
	}
	delete(p.rows, victim)
}

func (p *poison) dropsBefore(a, b string) bool {
	ra, rb := p.rows[a], p.rows[b]
	if ra.refused() != rb.refused() {
		return rb.refused()
	}
	return ra.until.Before(rb.until)
}

// refused returns the refused digests in order.
func (p *poison) refused(now time.Time) []PoisonRow {
	var rows []PoisonRow
	for _, d := range slices.Sorted(maps.Keys(p.rows)) {
		if r := p.rows[d]; r.refused() && now.Before(r.until) {
			rows = append(rows, PoisonRow{Digest: d, Until: r.until})
		}
	}
	return rows
}
