package plan

import (
	"math"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Time constants of the demand estimates.
const (
	FastConstant = 5 * time.Second  // follows a burst within a load's duration
	SlowConstant = 10 * time.Minute // the horizon over which a move must pay
)

// Rates are the two estimates of a model's demand in tokens per second.
type Rates struct {
	Fast float64
	Slow float64
}

// Wanted returns the rate that replicas are to serve: the larger estimate, so that it rises with the fast one and falls
// with the slow one.
func (r Rates) Wanted() float64 {
	return max(r.Fast, r.Slow)
}

// An Estimate keeps the demand of one model; its zero value has seen no demand.
type Estimate struct {
	rates Rates
	at    time.Time
}

// Add counts tokens that arrived by the given time.
func (e *Estimate) Add(tokens float64, now time.Time) {
	e.rates = e.Rates(now)
	e.at = now
	e.rates.Fast += tokens / FastConstant.Seconds()
	e.rates.Slow += tokens / SlowConstant.Seconds()
}

// Rates returns both estimates at the given time.
func (e *Estimate) Rates(now time.Time) Rates {
	d := max(0, now.Sub(e.at).Seconds())
	if e.at.IsZero() {
		return Rates{}
	}
	return Rates{
		Fast: e.rates.Fast * math.Exp(-d/FastConstant.Seconds()),
		Slow: e.rates.Slow * math.Exp(-d/SlowConstant.Seconds()),
	}
}

// Estimates keeps the demand of all models of a data centre; its zero value is empty.
type Estimates struct {
	models map[deck.ModelName]*Estimate
}

// Add counts tokens of a model that arrived by the given time.
func (s *Estimates) Add(m deck.ModelName, tokens float64, now time.Time) {
	if s.models == nil {
		s.models = make(map[deck.ModelName]*Estimate)
	}
	e, ok := s.models[m]
	if !ok {
		e = &Estimate{}
		s.models[m] = e
	}
	e.Add(tokens, now)
}

// Rates returns the estimates of all models with demand at the given time.
func (s *Estimates) Rates(now time.Time) map[deck.ModelName]Rates {
	out := make(map[deck.ModelName]Rates, len(s.models))
	for m, e := range s.models {
		r := e.Rates(now)
		if r.Wanted() < minRate {
			delete(s.models, m)
			continue
		}
		out[m] = r
	}
	return out
}

// minRate is the demand in tokens per second below which a model counts as idle.
const minRate = 1e-3
