package decktest

import (
	"context"
	"fmt"
	"slices"
	"sync"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A Router is a deck.Router that admits every request without waiting and chooses the first server that has no attempt of the
// request in flight and is not to be avoided, or else the first that has no attempt in flight. It knows no software versions.
type Router struct {
	Servers []deck.BackendServer
	Refusal *deck.Refusal // returned by every Admit if not nil

	mu           sync.Mutex
	observations []deck.Observation
	admitted     []deck.RequestInfo
	released     int
	violations   []string
	preempted    chan struct{}
}

var _ deck.Router = (*Router)(nil)

// Admit implements deck.Router.Admit.
func (r *Router) Admit(_ context.Context, info deck.RequestInfo) (deck.Admission, *deck.Refusal) {
	if r.Refusal != nil {
		return nil, r.Refusal
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.admitted = append(r.admitted, info)
	return &admission{r: r, inFlight: make(map[deck.BackendName]int)}, nil
}

// Admitted returns the requests admitted so far.
func (r *Router) Admitted() []deck.RequestInfo {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.admitted)
}

// ProtocolViolations returns the violations of the protocol between Choose and Observe: observations of servers without an
// attempt in flight, and choices that were released before an observation ended them.
func (r *Router) ProtocolViolations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.violations)
}

// Observations returns the kinds of the observations of the server in order, except deck.ObservedToken.
func (r *Router) Observations(server deck.BackendName) []deck.ObservationKind {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []deck.ObservationKind
	for _, o := range r.observations {
		if o.Backend == server && o.Kind != deck.ObservedToken {
			out = append(out, o.Kind)
		}
	}
	return out
}

// Preempt closes the channel that Admission.Preempted has returned, so that the running requests must choose again.
func (r *Router) Preempt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.preempted != nil {
		close(r.preempted)
		r.preempted = nil
	}
}

// ReleaseCount returns how often Admission.Release was called.
func (r *Router) ReleaseCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.released
}

type admission struct {
	r        *Router
	inFlight map[deck.BackendName]int // choices that no observation has ended yet
}

var _ deck.Admission = (*admission)(nil)

func (a *admission) Choose(
	_ context.Context, avoid []deck.BackendName, _ *deck.SoftwareVersion,
) (deck.BackendServer, *deck.Refusal) {
	a.r.mu.Lock()
	defer a.r.mu.Unlock()
	var chosen *deck.BackendServer
	for i, s := range a.r.Servers {
		if a.inFlight[s.Name] > 0 {
			continue
		}
		if !slices.Contains(avoid, s.Name) {
			chosen = &a.r.Servers[i]
			break
		}
		if chosen == nil {
			chosen = &a.r.Servers[i]
		}
	}
	if chosen == nil {
		return deck.BackendServer{}, &deck.Refusal{Kind: deck.RefusedNoBackend, Reason: "no backend server"}
	}
	a.inFlight[chosen.Name]++
	return *chosen, nil
}

func (a *admission) Observe(o deck.Observation) {
	a.r.mu.Lock()
	defer a.r.mu.Unlock()
	a.r.observations = append(a.r.observations, o)
	if a.inFlight[o.Backend] == 0 {
		a.r.violations = append(a.r.violations, fmt.Sprintf("observation of kind %d on %s, which has no attempt in flight", o.Kind, o.Backend))
		return
	}
	switch o.Kind {
	case deck.ObservedStart, deck.ObservedToken, deck.ObservedStall:
	default:
		a.inFlight[o.Backend]--
	}
}

func (a *admission) Preempted() <-chan struct{} {
	a.r.mu.Lock()
	defer a.r.mu.Unlock()
	if a.r.preempted == nil {
		a.r.preempted = make(chan struct{})
	}
	return a.r.preempted
}

func (a *admission) Priority() int {
	return 1
}

func (a *admission) Release() {
	a.r.mu.Lock()
	defer a.r.mu.Unlock()
	a.r.released++
	for name, n := range a.inFlight {
		if n > 0 {
			a.r.violations = append(a.r.violations, fmt.Sprintf("released with %d attempts in flight on %s", n, name))
		}
	}
}
