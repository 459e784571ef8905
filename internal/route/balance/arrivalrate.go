package balance

import (
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	// arrivalDecay is the time constant with which earlier arrivals decay: long enough for a VM that gets a call in a second for a
	// model, shorter than a crest of demand.
	arrivalDecay = 4 * time.Second

	// maxArrivalRates bounds the models for which callers can make a VM keep a rate.
	maxArrivalRates = 4096
)

// An arrivalKey identifies calls that compete for the same servers.
type arrivalKey struct {
	service deck.ServiceName
	model   deck.ModelName
}

// An arrivalRate is the exponentially decayed rate of this VM's calls. The zero value has no calls.
type arrivalRate struct {
	count float64
	at    time.Time
}

func (r *arrivalRate) add(now time.Time) {
	r.count = r.perSecond(now)*arrivalDecay.Seconds() + 1
	r.at = now
}

func (r *arrivalRate) perSecond(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.count * deck.Decay(now.Sub(r.at), arrivalDecay) / arrivalDecay.Seconds()
}

// RecordArrival records that a call of the service, and model unless it is empty, has arrived. Its own picks should come before.
func (b *Balancer) RecordArrival(now time.Time, s deck.ServiceName, m deck.ModelName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := arrivalKey{s, m}
	if b.arrivals[key] == nil {
		if b.arrivals == nil || len(b.arrivals) >= maxArrivalRates {
			b.arrivals = make(map[arrivalKey]*arrivalRate)
		}
		b.arrivals[key] = &arrivalRate{}
	}
	b.arrivals[key].add(now)
}

// arrivalsOfAll estimates the calls that arrive in a second at all entry VMs for the same servers. The caller holds the lock.
func (b *Balancer) arrivalsOfAll(now time.Time, req Requirements) float64 {
	r := b.arrivals[arrivalKey{req.Service, req.Model}]
	if r == nil {
		return 0
	}
	return r.perSecond(now) * float64(max(1, b.entryVMs))
}

// SetEntryVMs sets the number of entry VMs that share the servers; 0 if unknown.
func (b *Balancer) SetEntryVMs(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entryVMs = n
}
