package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/notice"
)

// Faults holds the fault settings of an emulated engine; the zero value has no faults.
type Faults struct {
	LoseOperations   int           // number of next operations that are acknowledged and then dropped
	DelayOperations  time.Duration // delay before an operation takes effect; it is acknowledged at once
	RepeatOperations bool          // each operation is delivered twice
	ReportLag        time.Duration // age of the reports that readers get
	DropCacheEvents  int           // every n-th cache event is lost; 0 loses none
	SlowFactor       float64       // factor on all generation times; 0 counts as 1
	SilentAfter      int           // number of tokens after which SilentStreams streams send nothing more, not even keep-alives
	SilentStreams    int           // number of next streams that SilentAfter applies to
	CrashOn          string        // a request whose body contains this text crashes the engine
	Draining         bool          // new generation requests are refused
	Notice           deck.ServerNotice
	Software         deck.SoftwareVersion // of the next emulated process; empty for the same as before
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
	Leaving           bool    `json:"leaving"`          // said in answers to generation requests
	PauseMs           int     `json:"pause-ms"`         // asked for in refusals of all generation requests; 0 refuses none
	Limit             float64 `json:"limit"`            // requests a second, said in answers to generation requests; 0 for none
	Software          string  `json:"software-version"` // of the next process
	Crash             bool    `json:"crash"`            // crash now
}

// SetFaults replaces the fault settings.
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
		Notice: deck.ServerNotice{
			Leaving: f.Leaving, Pause: time.Duration(f.PauseMs) * time.Millisecond, Limited: f.Limit > 0, Limit: f.Limit,
		},
		Software: deck.SoftwareVersion(f.Software),
	})
	if f.Crash {
		e.Crash()
	}
}

// giveNotice adds to the answer to a generation request what the engine says about the requests that it takes. It returns false if the
// engine refuses the request. The caller holds e.mu.
func (e *Engine) giveNotice(w http.ResponseWriter) bool {
	n := e.faults.Notice
	if n.Leaving {
		w.Header().Set(notice.HeaderLeaving, "1")
	}
	if n.Limited {
		w.Header().Set(notice.HeaderLimit, strconv.FormatFloat(n.Limit, 'f', -1, 64))
	}
	if n.Pause == 0 {
		return true
	}
	e.refused++
	w.Header().Set(notice.HeaderRetryAfter, strconv.FormatFloat(n.Pause.Seconds(), 'f', -1, 64))
	http.Error(w, "pause", http.StatusServiceUnavailable)
	return false
}
