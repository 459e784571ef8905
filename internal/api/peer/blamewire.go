package peer

import (
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

type crashJSON struct {
	Request uint64   `json:"request"`
	Server  string   `json:"server"`
	Born    int64    `json:"born,omitempty"`
	Parts   []uint64 `json:"parts,omitempty"`
	Began   bool     `json:"began,omitempty"`
	AgeMs   int64    `json:"age-ms,omitempty"`

	ElapsedMs int64 `json:"elapsed-ms,omitempty"` // from sending the request to the crash
}

type verdictJSON struct {
	Suspect uint64 `json:"suspect"`
	AgeMs   int64  `json:"age-ms,omitempty"`
	IdleMs  int64  `json:"idle-ms,omitempty"`
}

func crashesToWire(crashes []deck.Crash) []crashJSON {
	var out []crashJSON
	for _, c := range crashes {
		out = append(out, crashJSON{
			c.RequestFingerprint, string(c.Server), c.StartUnixMs, c.Parts, c.Began, c.Age.Milliseconds(), c.Elapsed.Milliseconds(),
		})
	}
	return out
}

func crashesFromWire(crashes []crashJSON) []deck.Crash {
	var out []deck.Crash
	for _, c := range crashes {
		out = append(out, deck.Crash{
			RequestFingerprint: c.Request, Server: deck.BackendName(c.Server), StartUnixMs: c.Born, Parts: c.Parts,
			Began: c.Began, Age: milliseconds(c.AgeMs), Elapsed: milliseconds(c.ElapsedMs),
		})
	}
	return out
}

func verdictsToWire(verdicts []deck.Verdict) []verdictJSON {
	var out []verdictJSON
	for _, v := range verdicts {
		out = append(out, verdictJSON{v.Suspect, v.Age.Milliseconds(), v.Idle.Milliseconds()})
	}
	return out
}

func verdictsFromWire(verdicts []verdictJSON) []deck.Verdict {
	var out []deck.Verdict
	for _, v := range verdicts {
		out = append(out, deck.Verdict{Suspect: v.Suspect, Age: milliseconds(v.AgeMs), Idle: milliseconds(v.IdleMs)})
	}
	return out
}

func milliseconds(n int64) time.Duration {
	return time.Duration(n) * time.Millisecond
}
