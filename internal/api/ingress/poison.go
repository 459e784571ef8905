package ingress

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	refuseAfterServers = 3                // number of different servers from which a request that may have crashed them is refused
	suspectTTL         = 60 * time.Second // after the last crash
	maxSuspects        = 4096
)

// A Fingerprint identifies a request by its path and body.
type Fingerprint uint64

// A PoisonDetector tracks the servers that may have crashed while they had a request, to refuse requests that crash servers.
// Its zero value is empty.
type PoisonDetector struct {
	mu         sync.Mutex
	suspects   map[Fingerprint]*suspect
	unreported []deck.Crash
}

type suspect struct {
	servers   map[deck.BackendName]bool
	lastCrash time.Time
}

// RecordCrash records a possible crash that this VM has observed.
func (p *PoisonDetector) RecordCrash(now time.Time, f Fingerprint, s deck.BackendName) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.add(now, deck.Crash{RequestFingerprint: uint64(f), Server: s}) {
		p.unreported = append(p.unreported, deck.Crash{RequestFingerprint: uint64(f), Server: s})
	}
}

// AddRemote records crashes that other VMs have observed.
func (p *PoisonDetector) AddRemote(now time.Time, crashes []deck.Crash) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range crashes {
		p.add(now, c)
	}
}

// TakeCrashes returns the crashes that this VM has observed since the last call.
func (p *PoisonDetector) TakeCrashes() []deck.Crash {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := p.unreported
	p.unreported = nil
	return out
}

// IsPoison reports whether the request may have crashed so many different servers that it must be refused.
func (p *PoisonDetector) IsPoison(f Fingerprint) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.suspects[f]
	return s != nil && len(s.servers) >= refuseAfterServers && time.Since(s.lastCrash) < suspectTTL
}

// add records the crash; it returns false if the request had crashed the server before.
func (p *PoisonDetector) add(now time.Time, c deck.Crash) bool {
	if p.suspects == nil || len(p.suspects) >= maxSuspects {
		p.suspects = make(map[Fingerprint]*suspect)
	}
	s := p.suspects[Fingerprint(c.RequestFingerprint)]
	if s == nil || now.Sub(s.lastCrash) > suspectTTL {
		s = &suspect{servers: make(map[deck.BackendName]bool)}
		p.suspects[Fingerprint(c.RequestFingerprint)] = s
	}
	known := s.servers[c.Server]
	s.servers[c.Server] = true
	s.lastCrash = now
	return !known
}

// fingerprint returns a hash of the call's path and body.
func (c *callRun) fingerprint() Fingerprint {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(c.r.RequestURI) // hashing never fails
	_, _ = d.Write(c.body)
	return Fingerprint(d.Sum64())
}
