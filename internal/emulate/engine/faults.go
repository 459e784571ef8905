package engine

import (
	"encoding/json"
	"net/http"
	"time"
)

// Faults are the switches of an emulated engine; the zero value has none.
type Faults struct {
	LoseOperations   int           // number of next operations that are accepted on the wire and dropped
	DelayOperations  time.Duration // before an operation takes effect, although it is answered at once
	RepeatOperations bool          // each operation is applied twice
	ReportLag        time.Duration // age of the reports that are given out
	DropCacheEvents  int           // every n-th cache event is lost; 0 for none
	SlowFactor       float64       // factor on all generation times; 0 means 1
	SilentAfter      int           // tokens after which SilentStreams streams send nothing more, keep-alives included
	SilentStreams    int
	CrashOn          string // a request whose body contains this text crashes the engine
	Draining         bool   // new work is refused
}

type faultsWire struct {
	LoseOperations    int     `json:"lose-operations"`
	DelayOperationsMs int     `json:"delay-operations-ms"`
	RepeatOperations  bool    `json:"repeat-operations"`
	ReportLagMs       int     `json:"report-lag-ms"`
	DropCacheEvents   int     `json:"drop-cache-events"`
	SlowFactor        float64 `json:"slow-factor"`
	SilentAfter       int     `json:"silent-after"`
	SilentStreams     int     `json:"silent-streams"`
	CrashOn           string  `json:"crash-on"`
	Draining          bool    `json:"draining"`
	Crash             bool    `json:"crash"` // crash now
}

// SetFaults replaces the fault switches.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

func (e *Engine) setFaults(w http.ResponseWriter, r *http.Request) {
	var f faultsWire
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(Faults{
		LoseOperations:   f.LoseOperations,
		DelayOperations:  time.Duration(f.DelayOperationsMs) * time.Millisecond,
		RepeatOperations: f.RepeatOperations,
		ReportLag:        time.Duration(f.ReportLagMs) * time.Millisecond,
		DropCacheEvents:  f.DropCacheEvents,
		SlowFactor:       f.SlowFactor,
		SilentAfter:      f.SilentAfter,
		SilentStreams:    f.SilentStreams,
		CrashOn:          f.CrashOn,
		Draining:         f.Draining,
	})
	if f.Crash {
		e.Crash()
	}
}
