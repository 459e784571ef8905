package health

import (
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// refusalTTL is how long a server's own refusal counts if no later report contradicts it.
const refusalTTL = 30 * time.Second

// A LeavingServers records which backend servers are leaving, from the platform's list, refusals and reports. The zero value is
// empty.
type LeavingServers struct {
	listed  map[string]bool
	refused map[deck.BackendName]time.Time
}

// ObserveList replaces the servers that are leaving according to the platform's list.
func (l *LeavingServers) ObserveList(rows []deck.VMStatus) {
	l.listed = make(map[string]bool)
	for _, r := range rows {
		if r.Leaving {
			l.listed[r.VM] = true
		}
	}
}

// ObserveRefusal records that the server refused work because it is leaving.
func (l *LeavingServers) ObserveRefusal(b deck.BackendName, at time.Time) {
	if l.refused == nil {
		l.refused = make(map[deck.BackendName]time.Time)
	}
	l.refused[b] = at
}

// ObserveReport records whether the server is draining according to its report. A report requested after a refusal
// overrides it.
func (l *LeavingServers) ObserveReport(r deck.EngineReport, requested time.Time) {
	if r.Draining {
		l.ObserveRefusal(r.Backend, requested)
		return
	}
	if at, ok := l.refused[r.Backend]; ok && requested.After(at) {
		delete(l.refused, r.Backend)
	}
}

// Contains reports whether the backend server is leaving according to any source.
func (l *LeavingServers) Contains(b deck.BackendServer, now time.Time) bool {
	if b.Leaving || l.listed[string(b.Name)] {
		return true
	}
	at, ok := l.refused[b.Name]
	return ok && now.Sub(at) < refusalTTL
}
