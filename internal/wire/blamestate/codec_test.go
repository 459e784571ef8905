package blamestate_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/blamestate"
)

func testState() deck.BlameState {
	return deck.BlameState{
		Revision: 3,
		Crashes: []deck.Crash{{
			RequestFingerprint: 1 << 63, Server: "e1", StartUnixMs: 17, Parts: []uint64{4, 5}, Began: true, Elapsed: time.Second, Age: time.Minute,
		}},
		Verdicts: []deck.SavedVerdict{{
			Verdict: deck.Verdict{Suspect: 4, Age: time.Hour, Idle: time.Second}, Trials: 2, SinceTrial: time.Minute,
		}},
		Cleared: []deck.ClearedSuspect{{Suspect: 6, Age: time.Second}},
		Lifted:  []deck.ClearedSuspect{{Suspect: 7, Age: time.Second}},
	}
}

// Guards against fields that are lost, and against ages that don't follow the time of day or are less than nothing.
func TestAges(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	data, err := blamestate.Encode(testState(), now)
	is.NoErr(err)
	for later, age := range map[time.Duration]time.Duration{
		0: 0, time.Minute: time.Minute, -time.Hour: 0, 1_000_000 * time.Hour: 24 * time.Hour,
	} {
		s, err := blamestate.Decode(data, now.Add(later))
		is.NoErr(err)
		is.Equal(s, testState().WithAge(age))
	}
}

// Guards against a state that is too large for a log entry.
func TestLargeStateFitsIntoAnEntry(t *testing.T) {
	const maxEntryBytes = 192 << 10 // in base64 it is a third longer, and an entry has 256 KiB
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	var s deck.BlameState
	for range 256 { // crashes with 16 fingerprints each
		server := deck.BackendName(strconv.FormatUint(random.Uint64(), 16))
		c := deck.Crash{RequestFingerprint: random.Uint64(), Server: server, StartUnixMs: random.Int64()}
		for range 15 {
			c.Parts = append(c.Parts, random.Uint64())
		}
		c.Age = time.Duration(random.IntN(1e9)) * time.Microsecond
		s.Crashes = append(s.Crashes, c)
		s.Verdicts = append(s.Verdicts, deck.SavedVerdict{Verdict: deck.Verdict{Suspect: random.Uint64(), Age: c.Age, Idle: c.Age}})
	}
	for range 512 {
		c := deck.ClearedSuspect{Suspect: random.Uint64(), Age: time.Duration(random.IntN(1e9)) * time.Microsecond}
		s.Cleared, s.Lifted = append(s.Cleared, c), append(s.Lifted, c)
	}
	data, err := blamestate.Encode(s, time.Unix(1_000_000, 0))
	is.NoErr(err)
	is.True(len(data) < maxEntryBytes)
}

// Guards against a panic or an endless read on bytes that are no state.
func FuzzDecode(f *testing.F) {
	now := time.Unix(1_000_000, 0)
	data, err := blamestate.Encode(testState(), now)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte("{"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = blamestate.Decode(data, now) // any result but a panic will do
	})
}
