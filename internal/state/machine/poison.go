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
	PoisonTTL            = 10 * time.Minute // after the digest's last crash
	MaxPoisonDigests     = 4096
	poisonCrashThreshold = 3 // crashes after which a digest is refused
	poisonAloneThreshold = 2 // crashes after which it is refused if it ran alone in one of them
	maxCrashesPerDigest  = 16
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

type crashHistory struct {
	crashes   []crash
	expiresAt time.Time
}

func (h *crashHistory) refused() bool {
	alone := slices.ContainsFunc(h.crashes, func(c crash) bool { return c.alone })
	return len(h.crashes) >= poisonCrashThreshold || alone && len(h.crashes) >= poisonAloneThreshold
}

// poisonTable holds the requests that were in flight at crashes.
type poisonTable struct {
	byDigest     map[string]*crashHistory
	changedIndex uint64 // log index of the last change of the refused digests
}

func newPoisonTable() poisonTable {
	return poisonTable{byDigest: make(map[string]*crashHistory)}
}

// recordCrash counts a crash once and tells whether the set of refused digests or an expiry in it has changed.
func (p *poisonTable) recordCrash(now time.Time, index uint64, c command.ReportCrash) bool {
	maps.DeleteFunc(p.byDigest, func(_ string, h *crashHistory) bool { return !now.Before(h.expiresAt) })
	history, ok := p.byDigest[c.Digest]
	if !ok {
		p.evict()
		history = &crashHistory{}
		p.byDigest[c.Digest] = history
	}
	if !history.addCrash(c) {
		return false
	}
	history.expiresAt = now.Add(PoisonTTL)
	if history.refused() {
		p.changedIndex = index
		return true
	}
	return false
}

// addCrash adds a crash and reports whether it was new.
func (h *crashHistory) addCrash(c command.ReportCrash) bool {
	id := c.BootID
	if id == "" {
		id = c.Report
	}
	for i := range h.crashes {
		if h.crashes[i].backend == c.Backend && h.crashes[i].id == id {
			added := c.Alone && !h.crashes[i].alone
			h.crashes[i].alone = h.crashes[i].alone || c.Alone
			return added
		}
	}
	if len(h.crashes) < maxCrashesPerDigest {
		h.crashes = append(h.crashes, crash{c.Backend, id, c.Alone})
	}
	return true
}

// evict drops the row that expires first, and a refused one only if all are refused.
func (p *poisonTable) evict() {
	if len(p.byDigest) < MaxPoisonDigests {
		return
	}
	victim := ""
	for _, d := range slices.Sorted(maps.Keys(p.byDigest)) {
		if victim == "" || p.evictsBefore(d, victim) {
			victim = d
		}
	}
	delete(p.byDigest, victim)
}

func (p *poisonTable) evictsBefore(a, b string) bool {
	ha, hb := p.byDigest[a], p.byDigest[b]
	if ha.refused() != hb.refused() {
		return hb.refused()
	}
	return ha.expiresAt.Before(hb.expiresAt)
}

// refused returns the refused digests in order.
func (p *poisonTable) refused(now time.Time) []PoisonRow {
	var digests []PoisonRow
	for _, d := range slices.Sorted(maps.Keys(p.byDigest)) {
		if h := p.byDigest[d]; h.refused() && now.Before(h.expiresAt) {
			digests = append(digests, PoisonRow{Digest: d, Until: h.expiresAt})
		}
	}
	return digests
}
