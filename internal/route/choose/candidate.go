package choose

import (
	"math"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A Distance says how far a backend server is from this VM.
type Distance int

// The distances, nearest first; traffic beyond SameRegion is billed by volume.
const (
	SameDataCentre Distance = iota
	SameRegion
	Elsewhere
	numDistances
)

// A Load is a backend server's load as this VM knows it.
type Load struct {
	Own         int  // own work in flight
	Reported    bool // a report is known
	Total       int  // running and queued work in the last report
	OwnAtReport int  // own work in flight when the report was taken
	ReportAge   time.Duration
}

// Others returns the reported work of other VMs; ok is false if no usable report is known.
func (l Load) Others() (n int, ok bool) {
	if !l.Reported || l.ReportAge > maxReportAge {
		return 0, false
	}
	return max(0, l.Total-l.OwnAtReport), true
}

// noServerLoad stands for the load of no server at all.
const noServerLoad = math.MaxInt

// knownTotal returns the known work on the server: this VM's and what the last usable report shows of others.
func (l Load) knownTotal() int {
	n, _ := l.Others()
	return l.Own + n
}

// worthSpill reports whether a farther server has clearly less work than the least loaded near one; one without a
// report may have.
func (l Load) worthSpill(nearLoad int) bool {
	_, ok := l.Others()
	return !ok || nearLoad == noServerLoad || float64(l.knownTotal()) < spillShare*float64(nearLoad)
}

// worthEarlySpill reports whether a farther server has so much less work that not even a short wait for a near one pays;
// one without a report does not count.
func (l Load) worthEarlySpill(nearLoad int) bool {
	_, ok := l.Others()
	return nearLoad == noServerLoad || ok && float64(l.knownTotal()) < earlySpillShare*float64(nearLoad)
}

// A Candidate is a backend server that could run an attempt.
type Candidate struct {
	Backend    deck.BackendName
	Distance   Distance
	HasAdapter bool
	Load       Load
	Room       int           // own work that may be added now
	FirstToken time.Duration // own estimate; zero if unknown
	Gap        time.Duration // own estimate between tokens; zero if unknown
	Weight     float64       // share of its normal work in (0, 1]
	ProbeDue   bool          // a server of reduced weight that has not been tried for a while
	Down       bool          // its last attempts failed; used only if no other is left
	Avoid      bool          // the caller asked for another one; used only if no other is left
	PrefixHit  float64       // share of the prompt that its prefix cache probably holds
}
