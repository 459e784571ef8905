package hub

import (
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	// failureWindow is the time within which enough VMs must report broken connections of a server. It covers two reports of
	// each VM with up to 180 entry VMs, and one with up to 360 (see Subscriber.pollWait).
	failureWindow = 1500 * time.Millisecond

	// minReporters is the number of VMs that must report a server before it is ejected. A server that loses single answers
	// is reported by fewer VMs, and a single VM may have lost all its own connections.
	minReporters = 4

	// minReportersAgain replaces minReporters for a server whose last ejection ended less than maxEjection ago.
	minReportersAgain = 2

	minEjection = 1 * time.Second // doubled with each ejection in a row
	maxEjection = 4 * time.Second

	// maxEjectedShare is the ejected share of a service's servers at which no further server is ejected, because the others would
	// be overloaded. The last ejection may exceed it: a service's only server may be ejected.
	maxEjectedShare = 0.2
)

// An outlierDetector ejects servers of which several VMs report broken connections without a whole answer to any VM in
// between. It ignores the health that a server reports of itself. The zero value is ready to use.
type outlierDetector struct {
	servers map[deck.BackendName]*failureRecord
}

// A failureRecord holds the recent reports and the last ejection of a server.
type failureRecord struct {
	reports      map[deck.VMName]time.Time
	ejectedUntil time.Time
	lastEjection time.Duration // length of the last ejection
}

// recordBrokenConnection records a VM's report that the server broke connections, and reports whether this ejects the
// server.
func (d *outlierDetector) recordBrokenConnection(now time.Time, vm deck.VMName, id deck.BackendName) bool {
	if d.servers == nil {
		d.servers = make(map[deck.BackendName]*failureRecord)
	}
	s := d.servers[id]
	if s == nil {
		s = &failureRecord{reports: make(map[deck.VMName]time.Time)}
		d.servers[id] = s
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

// recordAnswer records that the server gave a VM a whole answer.
func (d *outlierDetector) recordAnswer(id deck.BackendName) {
	if s := d.servers[id]; s != nil {
		clear(s.reports)
	}
}

// isEjected reports whether the server is ejected at the given time.
func (d *outlierDetector) isEjected(now time.Time, id deck.BackendName) bool {
	s := d.servers[id]
	return s != nil && now.Before(s.ejectedUntil)
}

// retain drops the records of servers that are not listed.
func (d *outlierDetector) retain(listed map[deck.BackendName]bool) {
	for id := range d.servers {
		if !listed[id] {
			delete(d.servers, id)
		}
	}
}

// handleBrokenConnection records a VM's report that a server broke connections, and publishes the server as ejected if the
// report ejects it. The caller holds p.mu.
func (p *Publisher) handleBrokenConnection(now time.Time, vm deck.VMName, id deck.BackendName) {
	s, ok := p.servers[id]
	if !ok || s.Ejected || p.ejectedShare(s.Service) >= maxEjectedShare || !p.outliers.recordBrokenConnection(now, vm, id) {
		return
	}
	p.o.Logger.Info("backend server ejected: it broke connections of several entry VMs", "server", string(id))
	s.Ejected = true
	p.revision++
	p.serial++
	p.servers[id] = serverEntry{s.Server, p.revision, now}
	notify(&p.newList)
}

// ejectedShare returns the share of a service's servers that are ejected. The caller holds p.mu.
func (p *Publisher) ejectedShare(name deck.ServiceName) float64 {
	all, ejected := 0, 0
	for _, s := range p.servers {
		if s.Service == name {
			all++
			if s.Ejected {
				ejected++
			}
		}
	}
	return float64(ejected) / float64(max(1, all))
}
