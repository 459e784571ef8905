package blame

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	guilty = 1
	beside = 2
)

// TestStrongestSuspectExplainsCrashes guards against a refusal of a sound part of prompts that was in flight at several crashes which
// another part caused, and against a second crashing part that is overlooked.
func TestStrongestSuspectExplainsCrashes(t *testing.T) {
	for _, tc := range []struct {
		name    string
		crashes [][]uint64 // parts of the requests in flight, one request each; the server had begun to answer the first
		blamed  []uint64
	}{
		{"one part", [][]uint64{{guilty}, {guilty}, {guilty}}, []uint64{guilty}},
		{"too few crashes", [][]uint64{{guilty}, {guilty}}, nil},
		{"in flight each time", [][]uint64{{guilty, beside}, {guilty, beside}, {guilty, beside}}, []uint64{guilty}},
		{"in flight most times", [][]uint64{{guilty, beside}, {guilty, beside}, {guilty, beside}, {guilty}}, []uint64{guilty}},
		{"a second part", [][]uint64{{guilty}, {guilty}, {guilty}, {guilty}, {beside}, {beside}, {beside}}, []uint64{guilty, beside}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var l Ledger
			now := time.Unix(1000, 0)
			request := uint64(100)
			for n, parts := range tc.crashes {
				now = now.Add(time.Second)
				for i, part := range parts {
					request++
					server := deck.BackendName(strconv.Itoa(n))
					l.Record(now, deck.Crash{RequestFingerprint: request, Server: server, Parts: []uint64{part}, Began: i == 0})
				}
			}
			is.Equal(l.BlamedParts(now), tc.blamed)
			l.Clear(now, guilty)
			for _, part := range l.BlamedParts(now) {
				is.True(part != guilty)
			}
			is.Equal(l.BlamedParts(now.Add(2*partEvidenceTTL)), nil)
		})
	}
}

// TestEqualSuspectsAreAllBlamed guards against one of two suspects that were in flight at the same crashes being taken for the cause, so
// that the other one, which may be it, goes on to crash servers.
func TestEqualSuspectsAreAllBlamed(t *testing.T) {
	is := is.New(t)
	var l Ledger
	now := time.Unix(1000, 0)
	crash := func(n int, parts ...uint64) {
		now = now.Add(time.Second)
		for _, part := range parts {
			server := deck.BackendName(strconv.Itoa(n))
			l.Record(now, deck.Crash{RequestFingerprint: uint64(100*n) + part, Server: server, Parts: []uint64{part}})
		}
	}
	for n := range 3 {
		crash(n, guilty, beside)
	}
	is.Equal(l.BlamedParts(now), []uint64{guilty, beside})
	crash(3, beside) // which makes it the stronger one
	is.Equal(l.BlamedParts(now), []uint64{beside})
}

// TestPartsOfTheSameRequestsAreToldApart guards against a refusal of the part that all prompts of a kind begin with, where a later part
// of the same prompts may be to blame.
func TestPartsOfTheSameRequestsAreToldApart(t *testing.T) {
	is := is.New(t)
	const first, second = 10, 11
	var l Ledger
	now := time.Unix(1000, 0)
	for n := range 3 {
		now = now.Add(time.Second)
		l.Record(now, deck.Crash{
			RequestFingerprint: uint64(100 + n), Server: deck.BackendName(strconv.Itoa(n)), Parts: []uint64{first, second}, Began: true,
		})
	}
	is.Equal(l.BlamedParts(now), []uint64{second})
}

// TestRepetitionsAtOnceAreSeparateCrashes guards against crashes that count as one because the caller sent the request again at once after
// each of them: nothing but the request has these in common.
func TestRepetitionsAtOnceAreSeparateCrashes(t *testing.T) {
	for _, tc := range []struct {
		elapsed time.Duration
		blamed  []uint64
	}{
		{50 * time.Millisecond, []uint64{guilty}}, // sent after the crash before
		{time.Second, nil},                        // in flight at all three crashes
	} {
		is := is.New(t)
		var l Ledger
		now := time.Unix(1000, 0)
		for n := range 3 {
			now = now.Add(60 * time.Millisecond)
			l.Record(now, deck.Crash{
				RequestFingerprint: uint64(100 + n), Server: deck.BackendName(strconv.Itoa(n)), Parts: []uint64{guilty}, Elapsed: tc.elapsed,
			})
		}
		is.Equal(l.BlamedParts(now), tc.blamed)
	}
}

// TestRepeatedReportWithoutPart guards against a part that counts at a crash although the repeated report of the crash leaves it out,
// because a server has written on it meanwhile.
func TestRepeatedReportWithoutPart(t *testing.T) {
	is := is.New(t)
	var l Ledger
	now := time.Unix(1000, 0)
	for n := range 3 {
		now = now.Add(time.Second)
		c := deck.Crash{RequestFingerprint: uint64(100 + n), Server: deck.BackendName(strconv.Itoa(n)), Parts: []uint64{beside}}
		l.Record(now, c)
		if n == 0 {
			c.Parts = nil
			l.Record(now, c)
		}
	}
	is.Equal(l.BlamedParts(now), nil)
}

// TestIncarnationsCrashSeparately guards against crashes of a server that starts again under its name being counted as one.
func TestIncarnationsCrashSeparately(t *testing.T) {
	is := is.New(t)
	var l Ledger
	now := time.Unix(1000, 0)
	blamed := false
	for start := range int64(3) {
		now = now.Add(time.Second)
		blamed = l.Record(now, deck.Crash{RequestFingerprint: 100, Server: "e1", StartUnixMs: 1 + start})
	}
	is.True(blamed)
	is.True(!l.Record(now.Add(2*requestEvidenceTTL), deck.Crash{RequestFingerprint: 100, Server: "e1", StartUnixMs: 9}))
}
