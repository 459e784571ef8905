package health

import (
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// refusalTTL is how long a server's own refusal counts if no later report contradicts it.
const refusalTTL = 30 * time.Second

// A Leaving knows which backend servers are leaving, by any source; its zero value knows none.
type Leaving struct {
	listed  map[string]bool
	refused map[deck.BackendName]time.Time
}

// ObserveList replaces what the platform's list says.
func (l *Leaving) ObserveList(rows []deck.VMStatus) {
	l.listed = make(map[string]bool)
	for _, r := range rows {
		if r.Leaving {
			l.listed[r.VM] = true
		}
	}
}

// ObserveRefusal records that the server refused work because it is leaving.
func (l *Leaving) ObserveRefusal(b deck.BackendName, at time.Time) {
	if l.refused == nil {
		l.refused = make(map[deck.BackendName]time.Time)
	}
	l.refused[b] = at
}

// ObserveReport records what the server's report says; a report requested after a refusal overrides it.
func (l *Leaving) ObserveReport(r deck.EngineReport, requested time.Time) {
	if r.Draining {
		l.ObserveRefusal(r.Backend, requested)
		return
	}
	if at, ok := l.refused[r.Backend]; ok && requested.After(at) {
		delete(l.refused, r.Backend)
	}
}

// Is reports whether the backend server counts as leaving.
func (l *Leaving) Is(b deck.BackendServer, now time.Time) bool {
	if b.Leaving || l.listed[string(b.Name)] {
		return true
	}
	at, ok := l.refused[b.Name]
	return ok && now.Sub(at) < refusalTTL
}
