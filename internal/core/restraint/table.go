package restraint

import (
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	// forgetAfter is how long a notice is kept without another one of its server, which may have ended.
	forgetAfter = 30 * time.Minute

	// unknownLeavingTime is how long a server that does not tell its incarnation counts as leaving after it last said so.
	unknownLeavingTime = 2 * time.Minute

	pruneAt = 1024 // servers from which those to be forgotten are looked for
)

// A Table keeps the notices of backend servers. Its zero value is empty, logs nothing and gets no permits. Its exported fields must be
// set before use.
type Table struct {
	Log     logr.Logger       // takes a line for each change
	Self    deck.VMName       // this VM
	Permits deck.PermitSource // divides the limits of servers; nil for none

	mu      sync.Mutex
	servers map[deck.BackendName]*server
	vms     deck.VMCount // that share the limits of backend servers
}

// A server is what one incarnation of a backend server has said.
type server struct {
	incarnation string // empty if unknown
	heardAt     time.Time
	leaving     bool
	leavingAt   time.Time // when it last said so
	pausedUntil time.Time

	limited      bool
	limit        float64 // requests a second, if limited
	limitHeardAt time.Time
	limitEndedAt time.Time   // since when it names none, until that is reported; zero if there is nothing to report
	own          tokenBucket // this VM's own part of the limit
	askAfter     time.Time   // no permit is asked for before
	lastTurn     int64       // number of the last turn that was used while nobody granted permits
}

// A Restraint says what keeps requests from a backend server. The zero value is none.
type Restraint struct {
	Leaving bool      // no more requests to this incarnation
	Until   time.Time // no request before that time; zero if there may be one now
	Limited bool      // each request needs Table.Admit
}

// Allows reports whether a request may be sent now, to a limited server once it is admitted.
func (r Restraint) Allows() bool {
	return !r.Leaving && r.Until.IsZero()
}

var _ deck.NoticeObserver = (*Table)(nil)

// ObserveNotice implements deck.NoticeObserver.ObserveNotice.
func (t *Table) ObserveNotice(now time.Time, name deck.BackendName, incarnation string, n deck.ServerNotice) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[name]
	if s == nil || !s.is(incarnation) {
		if !n.Leaving && n.Pause == 0 && !n.Limited {
			return
		}
		s = t.add(now, name, incarnation)
	}
	s.heardAt = now
	if n.Leaving {
		s.leavingAt = now
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
		if until := now.Add(n.Pause); until.After(s.pausedUntil) {
			s.pausedUntil = until // answers may overtake each other, so a shorter pause does not end a longer one
		}
	}
	t.observeLimit(now, name, s, n)
}

// observeLimit records the limit that a server names in an answer, or that it names none any more: in the answer to a request that was
// sent after it last did. The caller holds the lock.
func (t *Table) observeLimit(now time.Time, name deck.BackendName, s *server, n deck.ServerNotice) {
	if n.Limited {
		s.limitHeardAt = now
	} else if !n.SentAt.After(s.limitHeardAt) {
		return
	}
	if s.limited && !n.Limited {
		s.limitEndedAt = n.SentAt
	}
	t.setLimit(name, s, n.Limited, n.Limit)
}

// setLimit sets the limit that a server names. The caller holds the lock.
func (t *Table) setLimit(name deck.BackendName, s *server, limited bool, limit float64) {
	if limited {
		s.limitEndedAt = time.Time{}
	}
	if limited == s.limited && limit == s.limit {
		return
	}
	t.Log.Info("limit of a backend server changed", "server", string(name), "incarnation", s.incarnation, "limited", limited,
		"limit", limit, "before", s.limit)
	s.limited, s.limit = limited, limit
}

// Restraint returns what keeps requests from the given incarnation of a server, or from the last known one if it is empty.
func (t *Table) Restraint(now time.Time, name deck.BackendName, incarnation string) Restraint {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[name]
	if s == nil || !s.is(incarnation) {
		return Restraint{}
	}
	r := Restraint{Leaving: s.leaving && (s.incarnation != "" || now.Sub(s.leavingAt) < unknownLeavingTime)}
	r.Limited, r.Until = s.limited, t.limitedUntil(now, s)
	if now.Before(s.pausedUntil) && s.pausedUntil.After(r.Until) {
		r.Until = s.pausedUntil
	}
	return r
}

// PausedUntil returns when the given incarnation of a server, or the last known one if it is empty, takes requests again after a pause
// that it asked for; zero if it takes them now. Unlike a limit, a pause holds for all requests, not only for those of callers.
func (t *Table) PausedUntil(now time.Time, name deck.BackendName, incarnation string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[name]
	if s == nil || !s.is(incarnation) || !now.Before(s.pausedUntil) {
		return time.Time{}
	}
	return s.pausedUntil
}

// Forget drops what the server has said, because its process has ended.
func (t *Table) Forget(name deck.BackendName) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.servers, name)
}

// add returns a new entry for a server. The caller holds the lock.
func (t *Table) add(now time.Time, name deck.BackendName, incarnation string) *server {
	if t.servers == nil {
		t.servers = make(map[deck.BackendName]*server)
	}
	if len(t.servers) >= pruneAt {
		for other, s := range t.servers {
			if now.Sub(s.heardAt) > forgetAfter {
				delete(t.servers, other)
			}
		}
	}
	s := &server{incarnation: incarnation}
	t.servers[name] = s
	return s
}

// is reports whether the entry may be of the incarnation.
func (s *server) is(incarnation string) bool {
	return s.incarnation == incarnation || s.incarnation == "" || incarnation == ""
}
