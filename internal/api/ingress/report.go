package ingress

import (
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// FillReport adds demand, adapters in use, calls in flight, crashes, connection events and leaving servers to a request to the control leader.
func (h *Handler) FillReport(r *deck.ViewRequest) {
	now := time.Now()
	r.Demand = h.Demand.Take()
	r.AdaptersInUse = h.Demand.AdaptersInUse()
	r.CallsInFlight = h.Balancer.ReportInFlight()
	r.Blame = h.Poison.Report(now)
	r.BrokenConnections, r.Answered = h.Balancer.TakeConnectionEvents()
	r.Leaving = h.Balancer.UnlistedLeaving(now)
}

// ApplyCalls takes over the calls in flight of all entry VMs.
func (h *Handler) ApplyCalls(calls []deck.ServerCalls) {
	h.Balancer.RecordInFlightTotals(time.Now(), calls)
}

// ApplyBlame takes over what the leader knows about requests that crash backend servers.
func (h *Handler) ApplyBlame(v deck.BlameView) {
	h.Poison.Apply(time.Now(), v)
}
