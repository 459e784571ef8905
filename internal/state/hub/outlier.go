package hub

import (
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	// failureWindow is the time in which VMs must have seen a server break connections; it covers two reports of each VM.
	failureWindow = 1500 * time.Millisecond

	// minReporters is how many VMs it takes. A server that loses single answers is seen by fewer, and one VM may have lost all its own
	// connections.
	minReporters = 4

	// minReportersAgain is how many it takes for a server that was avoided a short time ago.
	minReportersAgain = 2

	minEjection = 1 * time.Second // doubled each time that the server is found broken again
	maxEjection = 4 * time.Second

	// maxEjectedShare bounds the share of a service's servers that are avoided: beyond it the others could not bear the calls.
	maxEjectedShare = 0.2
)

// outlierDetector are servers that several VMs have found to break connections, without an answer to any VM in between; the zero value
// knows none.
// What a server says of its own health is not asked.
type outlierDetector struct {
	servers map[deck.BackendName]*failureRecord
}

type failureRecord struct {
	reports      map[deck.VMName]time.Time
	ejectedUntil time.Time // the server is avoided until then
	lastEjection time.Duration
}

// recordBrokenConnection notes that a VM has seen the server break connections; it reports whether the server is to be avoided from now on.
func (b *outlierDetector) recordBrokenConnection(now time.Time, vm deck.VMName, id deck.BackendName) bool {
	if b.servers == nil {
		b.servers = make(map[deck.BackendName]*failureRecord)
	}
	s := b.servers[id]
	if s == nil {
		s = &failureRecord{reports: make(map[deck.VMName]time.Time)}
		b.servers[id] = s
	}
	s.reports[vm] = now
	for vm, at := range s.reports {
		if now.Sub(at) > failureWindow {
			delete(s.reports, vm)
		}
	}
	again := now.Sub(s.ejectedUntil) < maxEjection
	if now.Before(s.ejectedUntil) || len(s.reports) < minReportersAgain || !again && len(s.reports) < minReporters {
		return false
	}
	if !again {
		s.lastEjection = 0
	}
	s.lastEjection = min(max(2*s.lastEjection, minEjection), maxEjection)
	s.ejectedUntil = now.Add(s.lastEjection)
	clear(s.reports)
	return true
}

// recordAnswer notes that the server has given a VM a whole answer.
func (b *outlierDetector) recordAnswer(id deck.BackendName) {
	if s := b.servers[id]; s != nil {
		clear(s.reports)
	}
}

// isEjected reports whether the server is to be isEjected.
func (b *outlierDetector) isEjected(now time.Time, id deck.BackendName) bool {
	s := b.servers[id]
	return s != nil && now.Before(s.ejectedUntil)
}

// retain forgets servers that are not listed.
func (b *outlierDetector) retain(listed map[deck.BackendName]bool) {
	for id := range b.servers {
		if !listed[id] {
			delete(b.servers, id)
		}
	}
}
