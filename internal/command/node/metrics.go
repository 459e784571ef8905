package node

import (
	"context"
	"strconv"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/geraniumdeck/geraniumdeck/internal/api/ingress"
)

// callMetrics counts calls and records their durations by service and status.
type callMetrics struct {
	calls     metric.Int64Counter
	offers    metric.Int64Counter
	firstByte metric.Float64Histogram
	duration  metric.Float64Histogram
}

func newCallMetrics(m metric.Meter) (*callMetrics, error) {
	c := &callMetrics{}
	var errs [4]error
	c.calls, errs[0] = m.Int64Counter("geraniumdeck.calls",
		metric.WithUnit("{call}"), metric.WithDescription("Ended calls by service and status; 0 is a closed connection."))
	c.offers, errs[1] = m.Int64Counter("geraniumdeck.offers",
		metric.WithUnit("{offer}"), metric.WithDescription("Times that calls were sent to backend servers."))
	c.firstByte, errs[2] = m.Float64Histogram("geraniumdeck.call.first-byte",
		metric.WithUnit("s"), metric.WithDescription("Time to the first byte of the answer."))
	c.duration, errs[3] = m.Float64Histogram("geraniumdeck.call.duration",
		metric.WithUnit("s"), metric.WithDescription("Time to the end of the call."))
	return c, errors.Join(errs[:]...)
}

func (c *callMetrics) record(r ingress.CallRecord) {
	ctx := context.Background()
	service := attribute.String("service", string(r.Service))
	attrs := metric.WithAttributes(service, attribute.String("status", strconv.Itoa(r.Status)))
	c.calls.Add(ctx, 1, attrs)
	c.offers.Add(ctx, int64(r.Offers), metric.WithAttributes(service))
	if r.FirstByte > 0 {
		c.firstByte.Record(ctx, r.FirstByte.Seconds(), metric.WithAttributes(service))
	}
	c.duration.Record(ctx, r.Total.Seconds(), attrs)
}
