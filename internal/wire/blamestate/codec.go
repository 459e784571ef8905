package blamestate

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	maxDecodedBytes = 4 << 20
	maxAge          = 24 * time.Hour // of a saved state; nothing in it holds for that long
)

type stateJSON struct {
	Revision    uint64        `json:"revision"`
	SavedUnixMs int64         `json:"saved-unix-ms"`
	Crashes     []crashJSON   `json:"crashes,omitempty"`
	Verdicts    []verdictJSON `json:"verdicts,omitempty"`
	Cleared     []clearedJSON `json:"cleared,omitempty"`
	Lifted      []clearedJSON `json:"lifted,omitempty"`
}

type crashJSON struct {
	Request     uint64   `json:"request"`
	Server      string   `json:"server"`
	StartUnixMs int64    `json:"start-unix-ms,omitempty"`
	Parts       []uint64 `json:"parts,omitempty"`
	Began       bool     `json:"began,omitempty"`
	ElapsedMs   int64    `json:"elapsed-ms,omitempty"`
	AgeMs       int64    `json:"age-ms,omitempty"`
}

type verdictJSON struct {
	Suspect      uint64 `json:"suspect"`
	AgeMs        int64  `json:"age-ms,omitempty"`
	IdleMs       int64  `json:"idle-ms,omitempty"`
	Trials       int    `json:"trials,omitempty"`
	SinceTrialMs int64  `json:"since-trial-ms,omitempty"`
}

type clearedJSON struct {
	Suspect uint64 `json:"suspect"`
	AgeMs   int64  `json:"age-ms,omitempty"`
}

// Encode returns the state with the time of day at which it is saved.
func Encode(s deck.BlameState, now time.Time) ([]byte, error) {
	w := stateJSON{
		Revision: s.Revision, SavedUnixMs: now.UnixMilli(), Cleared: clearedToWire(s.Cleared), Lifted: clearedToWire(s.Lifted),
	}
	for _, c := range s.Crashes {
		w.Crashes = append(w.Crashes, crashJSON{
			c.RequestFingerprint, string(c.Server), c.StartUnixMs, c.Parts, c.Began, c.Elapsed.Milliseconds(), c.Age.Milliseconds(),
		})
	}
	for _, v := range s.Verdicts {
		w.Verdicts = append(w.Verdicts, verdictJSON{
			v.Suspect, v.Age.Milliseconds(), v.Idle.Milliseconds(), v.Trials, v.SinceTrial.Milliseconds(),
		})
	}
	var b bytes.Buffer
	z, err := flate.NewWriter(&b, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if err := json.NewEncoder(z).Encode(w); err != nil {
		return nil, err
	}
	if err := z.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// Decode returns the state that Encode encoded, older by the time of day that has passed since. A state that was saved in the future counts
// as saved now.
func Decode(data []byte, now time.Time) (deck.BlameState, error) {
	var w stateJSON
	decoder := json.NewDecoder(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxDecodedBytes))
	if err := decoder.Decode(&w); err != nil {
		return deck.BlameState{}, errors.Wrap(err, "saved crashes and verdicts")
	}
	s := deck.BlameState{Revision: w.Revision, Cleared: clearedFromWire(w.Cleared), Lifted: clearedFromWire(w.Lifted)}
	for _, c := range w.Crashes {
		s.Crashes = append(s.Crashes, deck.Crash{
			RequestFingerprint: c.Request, Server: deck.BackendName(c.Server), StartUnixMs: c.StartUnixMs, Parts: c.Parts, Began: c.Began,
			Elapsed: milliseconds(c.ElapsedMs), Age: milliseconds(c.AgeMs),
		})
	}
	for _, v := range w.Verdicts {
		s.Verdicts = append(s.Verdicts, deck.SavedVerdict{
			Verdict: deck.Verdict{Suspect: v.Suspect, Age: milliseconds(v.AgeMs), Idle: milliseconds(v.IdleMs)},
			Trials:  max(0, v.Trials), SinceTrial: milliseconds(v.SinceTrialMs),
		})
	}
	return s.WithAge(milliseconds(now.UnixMilli() - w.SavedUnixMs)), nil
}

func clearedToWire(list []deck.ClearedSuspect) []clearedJSON {
	var out []clearedJSON
	for _, c := range list {
		out = append(out, clearedJSON{c.Suspect, c.Age.Milliseconds()})
	}
	return out
}

func clearedFromWire(list []clearedJSON) []deck.ClearedSuspect {
	var out []deck.ClearedSuspect
	for _, c := range list {
		out = append(out, deck.ClearedSuspect{Suspect: c.Suspect, Age: milliseconds(c.AgeMs)})
	}
	return out
}

// milliseconds returns a time between 0 and maxAge.
func milliseconds(n int64) time.Duration {
	return time.Duration(min(max(0, n), maxAge.Milliseconds())) * time.Millisecond
}
