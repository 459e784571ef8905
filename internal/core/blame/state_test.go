package blame

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Guards against a saved state that grows with the crashes, and against one that keeps the oldest of them.
func TestSavedCrashesAreBounded(t *testing.T) {
	is := is.New(t)
	var l Ledger
	now := time.Unix(1000, 0)
	for n := range uint64(maxCrashes) {
		now = now.Add(time.Second)
		l.Record(now, deck.Crash{
			RequestFingerprint: n, Server: deck.BackendName(strconv.FormatUint(n, 10)), Parts: make([]uint64, maxSuspectParts),
		})
	}
	crashes := l.Crashes(now)
	is.Equal(len(crashes), maxSavedFingerprints/(1+maxSuspectParts))
	is.Equal(crashes[0].RequestFingerprint, uint64(maxCrashes-1))
	for n := range uint64(maxSavedFingerprints) { // one crash that doesn't fit
		l.Record(now, deck.Crash{RequestFingerprint: n, Server: "full", Parts: []uint64{n}})
	}
	is.Equal(len(l.Crashes(now)), len(crashes))
	for n := range uint64(3 * maxSavedCleared) {
		l.Clear(now.Add(time.Duration(n)), n)
	}
	is.Equal(len(l.Cleared(now.Add(time.Second))), maxSavedCleared)
}

// Guards against a restored state that differs from the saved one, or changes what is known by now.
func TestStateIsRestored(t *testing.T) {
	is := is.New(t)
	var saved, restored Ledger
	now := time.Unix(1000, 0)
	for n := range uint64(3) {
		now = now.Add(time.Second)
		saved.Record(now, deck.Crash{
			RequestFingerprint: n, Server: deck.BackendName(strconv.FormatUint(n, 10)), StartUnixMs: 7, Parts: []uint64{guilty},
			Began: true, Elapsed: time.Second,
		})
	}
	for range 2 {
		for _, c := range saved.Crashes(now) {
			restored.Restore(now, c)
		}
	}
	is.Equal(restored.Crashes(now), saved.Crashes(now))
	is.Equal(restored.BlamedParts(now), []uint64{guilty})
	is.True(!restored.HasNewEvidence(guilty))
	restored.Record(now, deck.Crash{RequestFingerprint: 1, Server: "1", StartUnixMs: 7, Parts: []uint64{guilty}, Age: time.Second})
	is.True(restored.HasNewEvidence(guilty)) // an entry VM has told of it again
}

// Guards against a verdict that an entry VM with an older state brings back after a restart, although it was lifted before.
func TestLiftedVerdictIsNotMergedAfterARestart(t *testing.T) {
	is := is.New(t)
	var saved, restored Verdicts
	now := time.Unix(1000, 0)
	saved.Add(now, guilty)
	saved.Add(now, beside)
	earlier := saved.List(now)
	saved.Lift(now.Add(time.Second), guilty)
	now = now.Add(2 * time.Second)
	restored.RestoreLifted(now, saved.Lifted(now))
	restored.Restore(now, saved.Save(now))
	restored.Merge(now.Add(-2*time.Second), earlier)
	is.True(!restored.Has(now, guilty))
	is.True(restored.Has(now, beside))
	restored.Add(now, guilty) // formed again
	restored.RestoreLifted(now, saved.Lifted(now))
	is.True(restored.Has(now, guilty))
	is.Equal(restored.TakeTrials(now.Add(firstTrial-time.Second), restored.List(now)), []uint64{beside}) // due two seconds earlier
}
