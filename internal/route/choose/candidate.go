package choose

import (
	"math"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A Distance is the network distance between a backend server and this VM.
type Distance int

// The distances, nearest first; traffic between data centres is billed by volume.
const (
	SameDataCentre Distance = iota
	SameRegion
	OtherRegion
	numDistances
)

// A Load is this VM's view of a backend server's load.
type Load struct {
	InFlight         int  // this VM's requests in flight
	Reported         bool // a report has been received
	Total            int  // running and queued requests in the last report
	InFlightAtReport int  // this VM's requests in flight when the report arrived
	ReportAge        time.Duration
}

// Others returns the number of other VMs' requests according to the last report; ok is false if there is no recent one.
func (l Load) Others() (n int, ok bool) {
	if !l.Reported || l.ReportAge > maxReportAge {
		return 0, false
	}
	return max(0, l.Total-l.InFlightAtReport), true
}

// noServerLoad stands for the load of the least loaded near server if there is none.
const noServerLoad = math.MaxInt

// knownTotal returns the known work on the server: this VM's and what the last usable report shows of others.
func (l Load) knownTotal() int {
	n, _ := l.Others()
	return l.InFlight + n
}

// worthSpill reports whether a farther server has clearly less work than the least loaded near one. One without a report
// counts as such.
func (l Load) worthSpill(nearLoad int) bool {
	_, ok := l.Others()
	return !ok || nearLoad == noServerLoad || float64(l.knownTotal()) < spillShare*float64(nearLoad)
}

// worthEarlySpill reports whether a farther server has so much less work that even a short wait for a near one costs more.
// One without a report does not qualify.
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
	Room       int           // number of this VM's requests that may be added now
	FirstToken time.Duration // this VM's estimate of the time to a first token; zero if unknown
	Gap        time.Duration // this VM's estimate of the time between tokens; zero if unknown
	Weight     float64       // share of its normal load, in (0, 1]
	ProbeDue   bool          // the weight is reduced and the server is due for a probe
	Down       bool          // its last attempts failed; used only if there is no other
	Avoid      bool          // the request failed on it, or should go elsewhere; used only if there is no other
	PrefixHit  float64       // share of the prompt that the server's prefix cache probably holds
}
