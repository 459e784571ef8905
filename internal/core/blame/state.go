package blame

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	maxSavedFingerprints = 4096 // of requests and parts, in all saved crashes together
	maxSavedCleared      = 512
)

// Crashes returns the crashes for Restore, the last ones first. Those that would exceed maxSavedFingerprints are left out.
func (l *Ledger) Crashes(now time.Time) []deck.Crash {
	l.expire(now)
	keys := slices.SortedFunc(maps.Keys(l.crashes), func(a, b incarnation) int {
		return cmp.Or(l.crashes[b].at.Compare(l.crashes[a].at), cmp.Compare(a.server, b.server), cmp.Compare(a.startUnixMs, b.startUnixMs))
	})
	var out []deck.Crash
	fingerprints := 0
	for _, key := range keys {
		c := l.crashes[key]
		n := 0
		for _, r := range c.requests {
			n += 1 + len(r.parts)
		}
		if fingerprints+n > maxSavedFingerprints {
			continue
		}
		fingerprints += n
		for _, fingerprint := range slices.Sorted(maps.Keys(c.requests)) {
			out = append(out, c.requests[fingerprint].crash(now, key, fingerprint, c.at))
		}
	}
	return out
}

// crash returns the crash of a server, at the given time, as one that interrupted the request.
func (r suspectRequest) crash(now time.Time, key incarnation, fingerprint uint64, at time.Time) deck.Crash {
	c := deck.Crash{
		RequestFingerprint: fingerprint, Server: key.server, StartUnixMs: key.startUnixMs, Parts: r.parts, Began: r.began, Age: now.Sub(at),
	}
	if !r.sentAt.IsZero() {
		c.Elapsed = at.Sub(r.sentAt)
	}
	return c
}

// Restore adds a crash from before a restart of all processes unless it is known.
func (l *Ledger) Restore(now time.Time, c deck.Crash) {
	if c.Age > partEvidenceTTL {
		return
	}
	key := incarnation{c.Server, c.StartUnixMs}
	known := l.crashes[key]
	if known != nil {
		if _, ok := known.requests[c.RequestFingerprint]; ok {
			return
		}
	}
	restored := known == nil || known.restored
	l.Record(now, c)
	if added := l.crashes[key]; added != nil {
		added.restored = restored
	}
}

// HasNewEvidence reports whether one of the crashes that are evidence against the part was recorded since the restart. Those from before
// could not be objected to by the VMs that knew the part to be sound, which have forgotten it.
func (l *Ledger) HasNewEvidence(part uint64) bool {
	return slices.ContainsFunc(l.byPart[part], func(c *crash) bool { return !c.restored && c.at.After(l.cleared[part]) })
}

// Cleared returns the suspects of Clear for RestoreCleared.
func (l *Ledger) Cleared(now time.Time) []deck.ClearedSuspect {
	return savedCleared(now, l.cleared)
}

// RestoreCleared takes over suspects that completed before a restart of all processes.
func (l *Ledger) RestoreCleared(now time.Time, list []deck.ClearedSuspect) {
	for _, c := range list {
		if at := now.Add(-c.Age); c.Age <= partEvidenceTTL && at.After(l.cleared[c.Suspect]) {
			l.Clear(at, c.Suspect)
		}
	}
}

// Save returns the verdicts for Restore, in ascending order of the suspects.
func (v *Verdicts) Save(now time.Time) []deck.SavedVerdict {
	var out []deck.SavedVerdict
	for _, listed := range v.List(now) {
		saved := deck.SavedVerdict{Verdict: listed}
		if e := v.bySuspect[listed.Suspect]; e.trials > 0 {
			saved.Trials, saved.SinceTrial = e.trials, now.Sub(e.triedAt)
		}
		out = append(out, saved)
	}
	return out
}

// Restore adds verdicts from before a restart of all processes unless they are known or were lifted since.
func (v *Verdicts) Restore(now time.Time, list []deck.SavedVerdict) {
	for _, s := range list {
		_, known := v.bySuspect[s.Suspect]
		since := now.Add(-s.Age)
		if lifted, ok := v.lifted[s.Suspect]; known || s.Idle > verdictTTL || ok && !since.After(lifted) {
			continue
		}
		e := verdict{since: since, lastSeen: now.Add(-s.Idle), trials: s.Trials}
		if s.Trials > 0 {
			e.triedAt = now.Add(-s.SinceTrial)
		}
		v.put(now, s.Suspect, e)
	}
}

// Lifted returns the suspects of Lift for RestoreLifted.
func (v *Verdicts) Lifted(now time.Time) []deck.ClearedSuspect {
	return savedCleared(now, v.lifted)
}

// RestoreLifted lifts the verdicts that were lifted before a restart of all processes and not formed again since.
func (v *Verdicts) RestoreLifted(now time.Time, list []deck.ClearedSuspect) {
	for _, c := range list {
		at := now.Add(-c.Age)
		if c.Age > verdictTTL || !at.After(v.lifted[c.Suspect]) {
			continue
		}
		if e, ok := v.bySuspect[c.Suspect]; ok && e.since.After(at) {
			continue
		}
		v.Lift(at, c.Suspect)
	}
}

// savedCleared returns the suspects that were cleared last, the latest first.
func savedCleared(now time.Time, cleared map[uint64]time.Time) []deck.ClearedSuspect {
	var out []deck.ClearedSuspect
	for suspect, at := range cleared {
		if age := now.Sub(at); age <= max(partEvidenceTTL, verdictTTL) {
			out = append(out, deck.ClearedSuspect{Suspect: suspect, Age: age})
		}
	}
	slices.SortFunc(out, func(a, b deck.ClearedSuspect) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Suspect, b.Suspect))
	})
	return out[:min(len(out), maxSavedCleared)]
}
