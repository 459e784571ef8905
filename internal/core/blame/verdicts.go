package blame

import (
	"cmp"
	"slices"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	verdictTTL  = 10 * time.Minute // since requests with the suspect last came
	maxVerdicts = 256              // those that were last needed longest ago are dropped beyond that

	// A verdict that is wrong would stand as long as callers send requests with the suspect, since none can complete. One request is
	// let through after firstTrial; each further trial, which costs a server if the verdict is right, waits trialFactor times as long.
	firstTrial    = 2 * time.Minute
	trialFactor   = 4
	maxTrialSteps = 5               // after which the wait grows no more
	trialWindow   = 5 * time.Second // a VM that is let to try has refused a request with the suspect in this time
)

// Verdicts are the suspects that are refused. The zero value is empty; it is not safe for concurrent use.
type Verdicts struct {
	bySuspect map[uint64]verdict
	lifted    map[uint64]time.Time // verdicts from before that time don't come back from other VMs
}

type verdict struct {
	since    time.Time
	lastSeen time.Time // when a request with the suspect last came
	trials   int       // that were allowed
	triedAt  time.Time // when the last trial was allowed; zero if none was
}

// Add adds a verdict that was formed now; it reports whether it is new.
func (v *Verdicts) Add(now time.Time, suspect uint64) bool {
	known := v.Has(now, suspect)
	old := v.bySuspect[suspect]
	if !known {
		old = verdict{since: now}
	}
	old.lastSeen = now
	v.put(now, suspect, old)
	return !known
}

// Contains reports whether the suspect is refused, and counts the question as a request with it.
func (v *Verdicts) Contains(now time.Time, suspect uint64) bool {
	if !v.Has(now, suspect) {
		return false
	}
	old := v.bySuspect[suspect]
	old.lastSeen = now
	v.bySuspect[suspect] = old
	return true
}

// Has reports whether the suspect is refused.
func (v *Verdicts) Has(now time.Time, suspect uint64) bool {
	old, ok := v.bySuspect[suspect]
	return ok && now.Sub(old.lastSeen) <= verdictTTL
}

// Lift removes a verdict, since a request with the suspect completed; it reports whether there was one.
func (v *Verdicts) Lift(now time.Time, suspect uint64) bool {
	if v.lifted == nil || len(v.lifted) >= maxCleared {
		v.lifted = make(map[uint64]time.Time)
	}
	v.lifted[suspect] = now
	_, ok := v.bySuspect[suspect]
	delete(v.bySuspect, suspect)
	return ok
}

// List returns the verdicts for other VMs, in ascending order of the suspects.
func (v *Verdicts) List(now time.Time) []deck.Verdict {
	var list []deck.Verdict
	for suspect, old := range v.bySuspect {
		if now.Sub(old.lastSeen) <= verdictTTL {
			list = append(list, deck.Verdict{Suspect: suspect, Age: now.Sub(old.since), Idle: now.Sub(old.lastSeen)})
		}
	}
	slices.SortFunc(list, func(a, b deck.Verdict) int { return cmp.Compare(a.Suspect, b.Suspect) })
	return list
}

// Merge adds verdicts of another VM, but for those that were lifted since they were formed.
func (v *Verdicts) Merge(now time.Time, list []deck.Verdict) {
	for _, other := range list {
		since, lastSeen := now.Add(-other.Age), now.Add(-other.Idle)
		if lifted, ok := v.lifted[other.Suspect]; ok && !since.After(lifted) {
			continue
		}
		old, ok := v.bySuspect[other.Suspect]
		if !ok {
			old = verdict{since: since, trials: 1, triedAt: now} // there may have been a trial before
		}
		old.lastSeen = later(lastSeen, old.lastSeen)
		v.put(now, other.Suspect, old)
	}
}

// TakeTrials returns the suspects with which a VM may send one request. known are the verdicts that the VM reported.
func (v *Verdicts) TakeTrials(now time.Time, known []deck.Verdict) []uint64 {
	var trials []uint64
	for _, other := range known {
		old, ok := v.bySuspect[other.Suspect]
		if !ok || other.Idle > trialWindow || now.Before(old.nextTrial()) {
			continue
		}
		old.trials++
		old.triedAt = now
		v.bySuspect[other.Suspect] = old
		trials = append(trials, other.Suspect)
	}
	return trials
}

func (e verdict) nextTrial() time.Time {
	if e.trials == 0 {
		return e.since.Add(firstTrial)
	}
	wait := firstTrial
	for range min(e.trials, maxTrialSteps) {
		wait *= trialFactor
	}
	return e.triedAt.Add(wait)
}

// Retain removes the verdicts formed before the given time that are not in the list.
func (v *Verdicts) Retain(before time.Time, list []deck.Verdict) {
	listed := make(map[uint64]bool, len(list))
	for _, other := range list {
		listed[other.Suspect] = true
	}
	for suspect, old := range v.bySuspect {
		if !listed[suspect] && old.since.Before(before) {
			delete(v.bySuspect, suspect)
		}
	}
}

func (v *Verdicts) put(now time.Time, suspect uint64, entry verdict) {
	if v.bySuspect == nil {
		v.bySuspect = make(map[uint64]verdict)
	}
	v.bySuspect[suspect] = entry
	if len(v.bySuspect) <= maxVerdicts {
		return
	}
	oldest := suspect
	for s, e := range v.bySuspect {
		if e.lastSeen.Before(v.bySuspect[oldest].lastSeen) || now.Sub(e.lastSeen) > verdictTTL {
			oldest = s
		}
	}
	delete(v.bySuspect, oldest)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
