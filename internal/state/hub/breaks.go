package hub

import (
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	// breakWindow is the time in which VMs must have seen a server break connections; it covers two reports of each VM.
	breakWindow = 1500 * time.Millisecond

	// breakVMs is how many VMs it takes. A server that loses single answers is seen by fewer, and one VM may have lost all its own
	// connections.
	breakVMs = 4

	// againVMs is how many it takes for a server that was avoided a short time ago.
	againVMs = 2

	minAvoided = 1 * time.Second // doubled each time that the server is found broken again
	maxAvoided = 4 * time.Second

	// maxAvoidedShare bounds the share of a service's servers that are avoided: beyond it the others could not bear the calls.
	maxAvoidedShare = 0.2
)

// breaks are servers that several VMs have found to break connections, without an answer to any VM in between; the zero value
// knows none.
// What a server says of its own health is not asked.
type breaks struct {
	servers map[deck.BackendName]*breakage
}

type breakage struct {
	seen  map[deck.VMName]time.Time
	until time.Time // the server is avoided until then
	pause time.Duration
}

// saw notes that a VM has seen the server break connections; it reports whether the server is to be avoided from now on.
func (b *breaks) saw(now time.Time, vm deck.VMName, id deck.BackendName) bool {
	if b.servers == nil {
		b.servers = make(map[deck.BackendName]*breakage)
	}
	s := b.servers[id]
	if s == nil {
		s = &breakage{seen: make(map[deck.VMName]time.Time)}
		b.servers[id] = s
	}
	s.seen[vm] = now
	for vm, at := range s.seen {
		if now.Sub(at) > breakWindow {
			delete(s.seen, vm)
		}
	}
	again := now.Sub(s.until) < maxAvoided
	if now.Before(s.until) || len(s.seen) < againVMs || !again && len(s.seen) < breakVMs {
		return false
	}
	if !again {
		s.pause = 0
	}
	s.pause = min(max(2*s.pause, minAvoided), maxAvoided)
	s.until = now.Add(s.pause)
	clear(s.seen)
	return true
}

// answered notes that the server has given a VM a whole answer.
func (b *breaks) answered(id deck.BackendName) {
	if s := b.servers[id]; s != nil {
		clear(s.seen)
	}
}

// avoided reports whether the server is to be avoided.
func (b *breaks) avoided(now time.Time, id deck.BackendName) bool {
	s := b.servers[id]
	return s != nil && now.Before(s.until)
}

// keep forgets servers that are not listed.
func (b *breaks) keep(listed map[deck.BackendName]bool) {
	for id := range b.servers {
		if !listed[id] {
			delete(b.servers, id)
		}
	}
}
