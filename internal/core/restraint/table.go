package restraint

import (
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A Table keeps the notices of backend servers. Its zero value is empty and logs nothing.
type Table struct {
	Log logr.Logger // takes a line for each change; must be set before use

	mu      sync.Mutex
	servers map[deck.BackendName]*server
}

// A server is what one incarnation of a backend server has said.
type server struct {
	incarnation string
	leaving     bool
	pausedUntil time.Time
}

var _ deck.NoticeObserver = (*Table)(nil)

// ObserveNotice implements deck.NoticeObserver.ObserveNotice.
func (t *Table) ObserveNotice(now time.Time, name deck.BackendName, incarnation string, n deck.ServerNotice) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[name]
	if s == nil || s.incarnation != incarnation {
		if n == (deck.ServerNotice{}) {
			return
		}
		if t.servers == nil {
			t.servers = make(map[deck.BackendName]*server)
		}
		s = &server{incarnation: incarnation}
		t.servers[name] = s
	}
	if n.Leaving && !s.leaving {
		s.leaving = true
		t.Log.Info("backend server says that it is leaving", "server", string(name), "incarnation", incarnation)
	}
	if n.Pause > 0 {
		if !now.Before(s.pausedUntil) {
			t.Log.Info("backend server asks for a pause", "server", string(name), "incarnation", incarnation,
				"pause-ms", n.Pause.Milliseconds())
		}
		s.pausedUntil = now.Add(n.Pause)
	}
}
