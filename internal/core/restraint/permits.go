package restraint

import (
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	// askFactor is how many requests there are for each permit, so that hardly any permit is left over.
	askFactor = 1.6

	// endMargin covers the transit of a message, by which the time of what a VM has heard seems later than it was.
	endMargin = permitTimeout

	// maxWait is the longest time after which a VM may ask again. It bounds how long a permit can be missed when other VMs stop.
	maxWait = 4 * time.Second
)

// Permits divide the limits of backend servers among the VMs that ask for permits. The zero value has granted none; it is not safe for
// concurrent use. A new leader starts with a zero value, whose buckets are empty: the permits of the leader before are on their way.
type Permits struct {
	servers map[deck.BackendName]*permitServer
}

// A permitServer is a backend server that has named a limit.
type permitServer struct {
	incarnation string
	limit       float64
	heardAt     time.Time // when a VM last heard the limit
	endedAt     time.Time // since when it names none; zero while it does
	bucket      tokenBucket
	nextAsk     time.Time // when the VM that asked last may ask again; VMs take turns
}

// Take answers a request of one of the given number of VMs.
func (p *Permits) Take(now time.Time, vms int, r deck.PermitRequest) deck.PermitAnswer {
	if r.Ended {
		p.end(now, r)
		return deck.PermitAnswer{}
	}
	s := p.server(now, r)
	if !s.endedAt.IsZero() {
		return deck.PermitAnswer{Ended: true}
	}
	rate := sharedRate(s.limit, vms)
	s.bucket.refill(now, rate)
	a := deck.PermitAnswer{Granted: s.bucket.take()}
	if s.bucket.tokens < 1 {
		a.Wait = max(s.bucket.untilNext(rate), s.nextTurn(now, rate))
	}
	return a
}

// nextTurn returns how long a VM waits until it may ask again, so that all that ask do so one after the other.
func (s *permitServer) nextTurn(now time.Time, rate float64) time.Duration {
	if s.nextAsk.Before(now) {
		s.nextAsk = now
	}
	s.nextAsk = s.nextAsk.Add(time.Duration(float64(time.Second) / (rate * askFactor)))
	if latest := now.Add(maxWait); s.nextAsk.After(latest) {
		s.nextAsk = latest
	}
	return s.nextAsk.Sub(now)
}

// server returns the server that the request names, with the limit that it named last.
func (p *Permits) server(now time.Time, r deck.PermitRequest) *permitServer {
	if p.servers == nil {
		p.servers = make(map[deck.BackendName]*permitServer)
	}
	heardAt := now.Add(-r.Age)
	s := p.servers[r.Server]
	if s == nil || s.incarnation != r.Incarnation && heardAt.After(s.heardAt) {
		p.prune(now)
		s = &permitServer{incarnation: r.Incarnation, limit: r.Limit, heardAt: heardAt}
		p.servers[r.Server] = s
	}
	if heardAt.After(s.heardAt) {
		s.limit, s.heardAt = r.Limit, heardAt
	}
	if s.heardAt.After(s.endedAt) {
		s.endedAt = time.Time{}
	}
	return s
}

// end records that a server names no limit any more, unless another VM may have heard it name one since.
func (p *Permits) end(now time.Time, r deck.PermitRequest) {
	s := p.servers[r.Server]
	endedAt := now.Add(-r.Age)
	if s != nil && s.incarnation == r.Incarnation && endedAt.Add(-endMargin).After(s.heardAt) {
		s.endedAt = endedAt
	}
}

// prune drops servers that have not named a limit for long, if there are many.
func (p *Permits) prune(now time.Time) {
	if len(p.servers) < pruneAt {
		return
	}
	for name, s := range p.servers {
		if now.Sub(s.heardAt) > forgetAfter {
			delete(p.servers, name)
		}
	}
}
