package blame

import (
	"slices"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	requestEvidenceTTL = 60 * time.Second // of a crash as evidence against a request
	partEvidenceTTL    = 10 * time.Minute // of a crash as evidence against a part; requests with it may be rare
	maxCrashes         = 256              // the oldest is dropped beyond that
	maxCleared         = 4096
)

// A Ledger keeps the crashes of backend servers with the requests that they interrupted. Its zero value is empty; it is not safe for
// concurrent use.
type Ledger struct {
	crashes map[incarnation]*crash
	byPart  map[uint64][]*crash  // those that interrupted requests with the part
	cleared map[uint64]time.Time // suspects that completed; earlier crashes are no evidence against them
	watched []uint64             // see Watched
	blamed  []uint64             // see BlamedParts
	changed bool                 // since watched and blamed were made
}

// An incarnation is one start of a backend server, which may start again under its name.
type incarnation struct {
	server      deck.BackendName
	startUnixMs int64
}

// A crash holds the interrupted requests by their fingerprints.
type crash struct {
	at       time.Time
	requests map[uint64]suspectRequest
	restored bool // from before a restart of all processes, and not reported since
}

type suspectRequest struct {
	parts  []uint64
	began  bool
	sentAt time.Time // zero if unknown
}

// Record adds a crash that interrupted a request, and reports whether the request is to blame by now.
func (l *Ledger) Record(now time.Time, c deck.Crash) (blamed bool) {
	l.expire(now)
	if l.crashes == nil {
		l.crashes, l.byPart = make(map[incarnation]*crash), make(map[uint64][]*crash)
	}
	key := incarnation{c.Server, c.StartUnixMs}
	known := l.crashes[key]
	if known == nil {
		known = &crash{at: now.Add(-c.Age), requests: make(map[uint64]suspectRequest)}
		l.crashes[key] = known
	}
	known.restored = false
	request := suspectRequest{parts: c.Parts, began: c.Began}
	if c.Elapsed > 0 {
		request.sentAt = now.Add(-c.Age - c.Elapsed)
	}
	known.requests[c.RequestFingerprint] = request
	for _, part := range c.Parts {
		if !slices.Contains(l.byPart[part], known) {
			l.byPart[part] = append(l.byPart[part], known)
		}
	}
	l.changed = true
	return l.blamesRequest(now, c.RequestFingerprint)
}

// Clear records that a request with the suspect completed, so that the crashes so far are no evidence against it.
func (l *Ledger) Clear(now time.Time, suspect uint64) {
	if l.cleared == nil || len(l.cleared) >= maxCleared {
		l.cleared = make(map[uint64]time.Time)
	}
	l.cleared[suspect] = now
	l.changed = true
}

// Watched returns the parts that are at most one crash short of blame, in ascending order: a completion of a request with one clears
// it.
func (l *Ledger) Watched(now time.Time) []uint64 {
	l.judge(now)
	return l.watched
}

// BlamesPart reports whether the crashes show that the part crashes servers.
func (l *Ledger) BlamesPart(part uint64) bool {
	return IsPartBlamed(l.evidence(part, nil))
}

// BlamedParts returns the parts that explain the crashes best, the strongest suspects first, then those that are to
// blame for the crashes that are left.
func (l *Ledger) BlamedParts(now time.Time) []uint64 {
	l.judge(now)
	return l.blamed
}

// judge brings watched and blamed up to date.
func (l *Ledger) judge(now time.Time) {
	l.expire(now)
	if !l.changed {
		return
	}
	l.changed, l.watched, l.blamed = false, nil, nil
	for part, crashes := range l.byPart {
		if len(crashes) >= minWatchedCrashes && separateCrashes(l.evidence(part, nil)) >= minWatchedCrashes {
			l.watched = append(l.watched, part)
		}
	}
	slices.Sort(l.watched)
	explained := make(map[*crash]bool)
	for _, equals := range l.byStrength(l.watched) {
		blamed := l.blamedOf(equals, explained)
		l.blamed = append(l.blamed, blamed...)
		for _, part := range blamed {
			for _, c := range l.byPart[part] {
				explained[c] = true
			}
		}
	}
}

// blamedOf returns those of the equally strong suspects that are to blame for crashes that nothing else explains. All are, since each
// further crash costs callers more than a refusal of what nobody had an answer to lately; but of parts that the same requests had, the
// last.
func (l *Ledger) blamedOf(equals []uint64, explained map[*crash]bool) []uint64 {
	var blamed []uint64
	for _, part := range equals {
		if IsPartBlamed(l.evidence(part, explained)) {
			blamed = append(blamed, part)
		}
	}
	return slices.DeleteFunc(slices.Clone(blamed), func(part uint64) bool {
		return slices.ContainsFunc(blamed, func(other uint64) bool { return l.isFollowedBy(part, other) })
	})
}

// isFollowedBy reports whether all interrupted requests with the part had the other one after it.
func (l *Ledger) isFollowedBy(part, other uint64) bool {
	for _, c := range l.byPart[part] {
		for _, r := range c.requests {
			i := slices.Index(r.parts, part)
			if i >= 0 && !slices.Contains(r.parts[i+1:], other) {
				return false
			}
		}
	}
	return true
}

// byStrength returns the parts in the order of the evidence against them, the strongest first, equally strong ones together.
func (l *Ledger) byStrength(parts []uint64) [][]uint64 {
	strength := make(map[uint64][3]int, len(parts))
	for _, part := range parts {
		strength[part] = partStrength(l.evidence(part, nil))
	}
	sorted := slices.Clone(parts)
	slices.SortStableFunc(sorted, func(a, b uint64) int {
		sa, sb := strength[a], strength[b]
		return slices.Compare(sb[:], sa[:])
	})
	var groups [][]uint64
	for i, part := range sorted {
		if i == 0 || strength[part] != strength[sorted[i-1]] {
			groups = append(groups, nil)
		}
		groups[len(groups)-1] = append(groups[len(groups)-1], part)
	}
	return groups
}

func (l *Ledger) blamesRequest(now time.Time, fingerprint uint64) bool {
	n := 0
	for _, c := range l.crashes {
		if _, ok := c.requests[fingerprint]; ok && c.at.After(l.cleared[fingerprint]) && now.Sub(c.at) <= requestEvidenceTTL {
			n++
		}
	}
	return n >= minCrashes
}

// evidence returns the crashes that are evidence against the part, without those that another part explains.
func (l *Ledger) evidence(part uint64, explained map[*crash]bool) []PartCrash {
	var crashes []PartCrash
	for _, c := range l.byPart[part] {
		if explained[c] || !c.at.After(l.cleared[part]) {
			continue
		}
		e := PartCrash{At: c.at}
		for fingerprint, r := range c.requests {
			if slices.Contains(r.parts, part) {
				e.Requests = append(e.Requests, fingerprint)
				e.Began = e.Began || r.began
				if r.sentAt.After(e.LastSent) {
					e.LastSent = r.sentAt
				}
			}
		}
		if len(e.Requests) > 0 {
			crashes = append(crashes, e)
		}
	}
	return crashes
}

// expire drops crashes that are too old, and the oldest if there are too many.
func (l *Ledger) expire(now time.Time) {
	var oldest incarnation
	before := len(l.crashes)
	for key, c := range l.crashes {
		if now.Sub(c.at) > partEvidenceTTL {
			delete(l.crashes, key)
		} else if o := l.crashes[oldest]; o == nil || c.at.Before(o.at) {
			oldest = key
		}
	}
	if len(l.crashes) > maxCrashes {
		delete(l.crashes, oldest)
	}
	if len(l.crashes) == before {
		return
	}
	l.changed, l.byPart = true, make(map[uint64][]*crash)
	for _, c := range l.crashes {
		for _, r := range c.requests {
			for _, part := range r.parts {
				if !slices.Contains(l.byPart[part], c) {
					l.byPart[part] = append(l.byPart[part], c)
				}
			}
		}
	}
}
