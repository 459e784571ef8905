package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/eventstream"
)

// A CallRecord describes how a call ended.
type CallRecord struct {
	Service   deck.ServiceName
	Route     string
	Customer  deck.CustomerName // empty for a call without a customer
	Status    int               // 0 if the connection was closed without a complete answer
	Offers    int               // times that the call was sent to a server
	FirstByte time.Duration     // to the first byte of the answer; 0 if there was none
	Total     time.Duration
}

// recordEnd logs the end of the call and reports it to OnCallEnd.
func (c *callRun) recordEnd(status int, outcome string, extra ...any) {
	total := time.Since(c.start)
	if c.offers > 0 && c.r.Context().Err() == nil && !errors.Is(context.Cause(c.ctx), errStopping) {
		c.h.durations.record(c.route.Name, time.Since(c.read))
	}
	fields := append([]any{
		"request", string(c.call.ID), "route", c.route.Name, "config", c.version, "service", string(c.service),
		"server", string(c.server.ID), "looks", c.probes, "offers", c.offers, "may-have-run", c.possibleRuns,
		"expected-calls", c.expectedCalls, "load-age-ms", c.loadAge.Milliseconds(), "status", status, "outcome", outcome,
		"first-ms", c.firstByte.Milliseconds(), "gap-ms", c.maxGap.Milliseconds(), "total-ms", total.Milliseconds(),
	}, extra...)
	if c.framing != "" {
		fields = append(fields, "framing", string(c.framing), "events", c.events)
	}
	if c.server.Software != "" {
		fields = append(fields, "software", string(c.server.Software))
	}
	if c.call.LastEventID != "" {
		fields = append(fields, "last-event", c.call.LastEventID, "resumes", string(c.call.Resumes))
	}
	if c.call.Model != "" {
		fields = append(fields, "model", string(c.call.Model), "adapter", string(c.call.Adapter))
	}
	if c.hasCustomer {
		fields = append(fields, "customer", string(c.customer.Name))
	}
	if c.h.ViewAge != nil {
		fields = append(fields, "view-age-ms", c.h.ViewAge().Milliseconds())
	}
	c.h.Log.Info("call ended", fields...)
	if c.h.OnCallEnd != nil {
		c.h.OnCallEnd(CallRecord{
			Service: c.service, Route: c.route.Name, Customer: c.customer.Name, Status: status, Offers: c.offers,
			FirstByte: c.firstByte, Total: total,
		})
	}
}

// A framing says what marks the end of an answer's body.
type framing string

const (
	framedByLength     framing = "length"
	framedByChunks     framing = "chunks"
	framedByConnection framing = "connection" // its end can't be told from a lost connection
)

func framingOf(resp *http.Response) framing {
	switch {
	case eventstream.EndsWithConnection(resp):
		return framedByConnection
	case resp.ContentLength >= 0:
		return framedByLength
	default:
		return framedByChunks
	}
}

// logFailedOffer logs why an offer did not end the call.
func (c *callRun) logFailedOffer(s deck.Server, reason string, extra ...any) {
	fields := append([]any{
		"request", string(c.call.ID), "server", string(s.ID), "software", string(s.Software), "address", s.Address, "offer", c.offers,
		"elapsed-ms", time.Since(c.start).Milliseconds(), "reason", reason,
	}, extra...)
	c.h.Log.Info("offer failed", fields...)
}
