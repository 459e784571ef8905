package ingress

import (
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A Record says how a call ended.
type Record struct {
	Service deck.ServiceName
	Route   string
	Status  int // 0 if the connection was closed without a whole answer
	Offers  int
	First   time.Duration // to the first byte of the answer; 0 if there was none
	Total   time.Duration
}

// end logs and counts the end of a call.
func (c *callRun) end(status int, outcome string, more ...any) {
	total := time.Since(c.start)
	fields := append([]any{
		"request", string(c.call.ID), "route", c.route.Name, "config", c.version, "service", string(c.service),
		"server", string(c.server.ID), "looks", c.looks, "offers", c.offers, "may-have-run", c.runs, "status", status, "outcome", outcome,
		"first-ms", c.first.Milliseconds(), "gap-ms", c.gap.Milliseconds(), "total-ms", total.Milliseconds(),
	}, more...)
	if c.call.Model != "" {
		fields = append(fields, "model", string(c.call.Model), "adapter", string(c.call.Adapter))
	}
	if c.h.ViewAge != nil {
		fields = append(fields, "view-age-ms", c.h.ViewAge().Milliseconds())
	}
	c.h.Log.Info("call ended", fields...)
	if c.h.Served != nil {
		c.h.Served(Record{
			Service: c.service, Route: c.route.Name, Status: status, Offers: c.offers, First: c.first, Total: total,
		})
	}
}

// logOffer logs why an offer did not end the call.
func (c *callRun) logOffer(s deck.Server, reason string, more ...any) {
	fields := append([]any{
		"request", string(c.call.ID), "server", string(s.ID), "address", s.Address, "offer", c.offers,
		"elapsed-ms", time.Since(c.start).Milliseconds(), "reason", reason,
	}, more...)
	c.h.Log.Info("offer failed", fields...)
}
