package ingress

import (
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/route/fairshare"
)

// shareRoom lets the customer's calls have a fair part of the room where servers have room for a part of all calls only. It is called once
// for a call, before its first pick.
func (c *callRun) shareRoom(customer deck.Customer) {
	group := fairshare.Group{Service: c.service, Priority: c.route.Priority}
	if customer.HasPriority {
		group.Priority = customer.Priority
	}
	cost := 1.0
	if c.requirements.Model != "" {
		cost = expectedTokens(c.call)
	}
	c.h.shares.Record(c.start, group, customer.Name, cost)
	c.requirements.Admitted = func(room float64) float64 {
		return c.h.shares.Admitted(c.start, group, customer.Name, room)
	}
}
