package statemachine

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/command"
)

// Limits of poison-request detection.
const (
	PoisonTTL            = 10 * time.Minute // counted from the digest's last crash
	MaxPoisonDigests     = 4096
	poisonCrashThreshold = 3 // crashes after which a digest is refused
	poisonAloneThreshold = 2 // crashes after which it is refused if it ran alone in one of them
	maxCrashesPerDigest  = 16
)

// A RefusedDigest is a refused request digest with its expiry.
type RefusedDigest struct {
	Digest    string
	ExpiresAt time.Time // in the control leader's wall-clock time
}

// A crash is one crash of a backend server process that had the request in flight.
type crash struct {
	backend deck.BackendName
	id      string // boot ID, or the report's ID if the boot ID is unknown
	alone   bool   // no other request that may have caused the crash was in flight
}

// A crashHistory holds the distinct crashes that a request digest was involved in.
type crashHistory struct {
	crashes   []crash
	expiresAt time.Time
}

func (h *crashHistory) refused() bool {
	alone := slices.ContainsFunc(h.crashes, func(c crash) bool { return c.alone })
	return len(h.crashes) >= poisonCrashThreshold || alone && len(h.crashes) >= poisonAloneThreshold
}

// A poisonTable holds the crash histories of the requests that were in flight at crashes, by request digest.
type poisonTable struct {
	digests      map[string]*crashHistory
	parts        map[uint64]*partHistory
	changedIndex uint64 // log index of the last change of the refused digests
}

func newPoisonTable() poisonTable {
	return poisonTable{digests: make(map[string]*crashHistory), parts: make(map[uint64]*partHistory)}
}

// recordCrash adds a crash to the digest's history and reports whether the refused digests or the expiry of one changed.
// Repeated reports of a crash count once.
func (p *poisonTable) recordCrash(now time.Time, index uint64, c command.ReportCrash) bool {
	maps.DeleteFunc(p.digests, func(_ string, h *crashHistory) bool { return !now.Before(h.expiresAt) })
	history, ok := p.digests[c.Digest]
	if !ok {
		p.evict()
		history = &crashHistory{}
		p.digests[c.Digest] = history
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

// addCrash adds a crash and reports whether the crash is new, or the report is the first to mark the request as alone in it.
// When the history holds maxCrashesPerDigest crashes, it adds no more, and every other crash counts as new.
func (h *crashHistory) addCrash(c command.ReportCrash) bool {
	id := c.BootID
	if id == "" {
		id = c.ReportID
	}
	for i := range h.crashes {
		if h.crashes[i].backend == c.Backend && h.crashes[i].id == id {
			added := c.OnlySuspect && !h.crashes[i].alone
			h.crashes[i].alone = h.crashes[i].alone || c.OnlySuspect
			return added
		}
	}
	if len(h.crashes) < maxCrashesPerDigest {
		h.crashes = append(h.crashes, crash{c.Backend, id, c.OnlySuspect})
	}
	return true
}

// evict makes room for one digest in a full table. It removes the digest that expires first, and a refused one only if all
// are refused.
func (p *poisonTable) evict() {
	if len(p.digests) < MaxPoisonDigests {
		return
	}
	victim := ""
	for _, d := range slices.Sorted(maps.Keys(p.digests)) {
		if victim == "" || p.evictsBefore(d, victim) {
			victim = d
		}
	}
	delete(p.digests, victim)
}

func (p *poisonTable) evictsBefore(a, b string) bool {
	ha, hb := p.digests[a], p.digests[b]
	if ha.refused() != hb.refused() {
		return hb.refused()
	}
	return ha.expiresAt.Before(hb.expiresAt)
}

// refused returns the refused digests, those of parts of prompts included, in ascending order.
func (p *poisonTable) refused(now time.Time) []RefusedDigest {
	var digests []RefusedDigest
	for _, d := range slices.Sorted(maps.Keys(p.digests)) {
		if h := p.digests[d]; h.refused() && now.Before(h.expiresAt) {
			digests = append(digests, RefusedDigest{Digest: d, ExpiresAt: h.expiresAt})
		}
	}
	for part, h := range p.parts {
		if h.refused() && now.Before(h.expiresAt) {
			digests = append(digests, RefusedDigest{Digest: partDigest(part), ExpiresAt: h.expiresAt})
		}
	}
	slices.SortFunc(digests, func(a, b RefusedDigest) int { return strings.Compare(a.Digest, b.Digest) })
	return digests
}
