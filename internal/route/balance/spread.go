package balance

import (
	"math"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Times that are assumed until they are known.
const (
	defaultSlotTime       = 500 * time.Millisecond
	defaultReportInterval = 500 * time.Millisecond
)

// A loadEstimate is what a VM expects at a server, by a report that may be older than the calls that it counts.
type loadEstimate struct {
	inFlight float64 // calls expected at the server now
	replaced float64 // calls of this VM's data centre that have ended since the report and that others have taken the place of
}

// estimateLoad estimates the calls at the server now. Those that the report counts end after slotTime on average. As many calls of other
// data centres take their place as have usually been there. Where the successors of those of this VM's data centre go depends on how its
// VMs choose by the same report.
func (b *Balancer) estimateLoad(now time.Time, s *serverState, slotTime time.Duration) loadEstimate {
	e := loadEstimate{inFlight: float64(s.inFlight)}
	fresh := min(1, 2-now.Sub(s.loadAt).Seconds()/loadTTL.Seconds())
	if s.loadAt.IsZero() || fresh <= 0 {
		return e
	}
	remaining := remainingShare(b.reportAge(now, s), slotTime)
	others := max(0, float64(s.load.Running+s.load.Waiting-s.inFlightAtLoad))
	near := min(others, max(0, float64(s.near-s.inFlightAtLoad)))
	far := s.usualFar + (others-near-s.usualFar)*remaining
	e.inFlight += (far + near*remaining) * fresh
	e.replaced = near * (1 - remaining) * fresh
	return e
}

// reportAge returns the age of the server's last load.
func (b *Balancer) reportAge(now time.Time, s *serverState) time.Duration {
	age := now.Sub(s.loadAt)
	if !s.selfReportedAt.Equal(s.loadAt) {
		age += b.reportInterval / 2 // reports reach the leader at any time of the interval
	}
	return min(age, loadTTL)
}

// remainingShare returns the share of the calls that have not ended after the given time.
func remainingShare(age, slotTime time.Duration) float64 {
	if slotTime <= 0 {
		slotTime = defaultSlotTime
	}
	return deck.Decay(max(0, age), slotTime)
}

// A spreadServer is a server to spread calls over.
type spreadServer struct {
	state    *serverState
	fixed    float64 // cost whatever the calls in flight
	inFlight float64
	slots    float64
	slowdown float64
	capacity float64 // calls from which on it counts as full

	// rivals is the number of data centres whose VMs are expected to send as many calls there as those of this VM's.
	rivals float64

	share float64 // result: the calls that it gets
}

// marginalCost returns the cost of a call at the server with the given calls in flight.
func (s *spreadServer) marginalCost(inFlight float64) float64 {
	return s.fixed + (inFlightCost*inFlight+queueCost*max(0, inFlight/s.slots-queueThreshold))*s.slowdown
}

// callsAtCost returns the calls in flight at which the cost is reached.
func (s *spreadServer) callsAtCost(cost float64) float64 {
	variable := (cost - s.fixed) / s.slowdown
	knee := queueThreshold * s.slots
	if variable <= inFlightCost*knee {
		return variable / inFlightCost
	}
	return knee + (variable-inFlightCost*knee)/(inFlightCost+queueCost/s.slots)
}

// spreadSteps is the number of halvings by which the common cost is found.
const spreadSteps = 24

// spread sets the share of each server so that the calls end up where they cost least: all servers that get some and have room for more
// then have the same cost. It returns the part of the calls that there is room for.
func spread(servers []spreadServer, calls float64) float64 {
	low, high := math.Inf(1), 0.0
	for i := range servers {
		s := &servers[i]
		low = min(low, s.marginalCost(s.inFlight))
		high = max(high, s.marginalCost(s.inFlight+calls*s.rivals))
	}
	for range spreadSteps {
		if middle := (low + high) / 2; fill(servers, middle) < calls {
			low = middle
		} else {
			high = middle
		}
	}
	return min(1, fill(servers, high)/calls)
}

// fill sets the share of each server to the calls that raise its cost to the given one, and returns their sum.
func fill(servers []spreadServer, cost float64) float64 {
	sum := 0.0
	for i := range servers {
		s := &servers[i]
		s.share = max(0, min(s.callsAtCost(cost), s.capacity)-s.inFlight) / s.rivals
		sum += s.share
	}
	return sum
}

// draw returns a server with a probability in proportion to its share, any of them if all have none.
func draw(servers []spreadServer, random deck.Rand) *serverState {
	sum := 0.0
	for _, s := range servers {
		sum += s.share
	}
	if sum <= 0 {
		return servers[random.IntN(len(servers))].state
	}
	rest := random.Float64() * sum
	for _, s := range servers {
		rest -= s.share
		if rest < 0 {
			return s.state
		}
	}
	return servers[len(servers)-1].state
}

// ExpectedCalls returns the calls that are expected to be at the server, and the age of the report that this is based on.
func (b *Balancer) ExpectedCalls(now time.Time, id deck.BackendName) (calls float64, age time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[id]
	if s == nil || s.loadAt.IsZero() {
		return 0, 0
	}
	e := b.estimateLoad(now, s, b.meanSlotTime(s.Service))
	return e.inFlight + e.replaced, now.Sub(s.loadAt)
}
