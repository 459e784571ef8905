package fairshare

import (
	"slices"
	"sync"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	// rateDecay is the time constant with which earlier calls decay: a surge shows within a second or two, and a VM gets some calls of
	// the larger customers within it.
	rateDecay = 4 * time.Second

	// forgetAfter is the time after which a customer without calls is forgotten.
	forgetAfter = 10 * rateDecay
)

// A Group holds the calls that compete for the same room: those of a service with the same priority.
type Group struct {
	Service  deck.ServiceName
	Priority int
}

// Shares keeps the rates at which customers' calls arrive at this VM, by group. The zero value has none. It is safe for concurrent use.
type Shares struct {
	mu     sync.Mutex
	groups map[Group]map[deck.CustomerName]*rate
}

// A rate is an exponentially decayed sum of costs.
type rate struct {
	sum float64
	at  time.Time
}

func (r *rate) value(now time.Time) float64 {
	return r.sum * deck.Decay(now.Sub(r.at), rateDecay)
}

// Record records the arrival of a customer's call; cost is the room that it takes, in any unit that is the same within the group.
func (s *Shares) Record(now time.Time, g Group, c deck.CustomerName, cost float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.groups == nil {
		s.groups = make(map[Group]map[deck.CustomerName]*rate)
	}
	rates := s.groups[g]
	if rates == nil {
		rates = make(map[deck.CustomerName]*rate)
		s.groups[g] = rates
	}
	if rates[c] == nil {
		forget(now, rates)
		rates[c] = &rate{at: now}
	}
	rates[c].sum, rates[c].at = rates[c].value(now)+cost, now
}

// forget removes the customers without calls for a while.
func forget(now time.Time, rates map[deck.CustomerName]*rate) {
	for c, r := range rates {
		if now.Sub(r.at) > forgetAfter {
			delete(rates, c)
		}
	}
}

// Admitted returns the share of a customer's calls to send if there is room for the given share of the calls of all customers. Customers
// with less than an equal part of the room send all, and what they leave is divided equally among the others (max-min fairness).
func (s *Shares) Admitted(now time.Time, g Group, c deck.CustomerName, room float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := s.groups[g][c]
	if own == nil || room >= 1 {
		return 1
	}
	values := make([]float64, 0, len(s.groups[g]))
	total := 0.0
	for _, r := range s.groups[g] {
		values = append(values, r.value(now))
		total += values[len(values)-1]
	}
	return min(1, fairLevel(values, room*total)/own.value(now))
}

// fairLevel returns the level at which to cap the values so that they sum up to the room.
func fairLevel(values []float64, room float64) float64 {
	slices.Sort(values)
	for i, v := range values {
		level := room / float64(len(values)-i)
		if level <= v {
			return level
		}
		room -= v
	}
	return values[len(values)-1]
}
