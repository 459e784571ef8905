package node

import (
	"context"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/metric"

	"github.com/geraniumdeck/geraniumdeck/internal/route/hedge"
	settings "github.com/geraniumdeck/geraniumdeck/internal/settings/node"
)

// newHedges returns the decisions about second sends within the bounds, whose counts are exported.
func newHedges(m metric.Meter, bounds settings.Bounds) (*hedge.Hedger, error) {
	h := &hedge.Hedger{}
	h.SetLimit(bounds.HedgeShare, bounds.HedgeWindow)
	var errs []error
	for _, c := range []struct {
		name, unit, description string
		value                   func(hedge.Counts) int64
	}{
		{"geraniumdeck.hedges.sent", "{call}", "Late calls sent to a second server.", func(c hedge.Counts) int64 { return c.Sent }},
		{"geraniumdeck.hedges.won", "{call}", "Late calls that the second server answered.", func(c hedge.Counts) int64 { return c.Won }},
		{"geraniumdeck.hedges.cancelled", "{offer}", "Sends cancelled because the other server had answered.",
			func(c hedge.Counts) int64 { return c.Cancelled }},
		{"geraniumdeck.hedges.limited", "{call}", "Late calls that the limit or the retry budget allowed no second send.",
			func(c hedge.Counts) int64 { return c.Limited }},
		{"geraniumdeck.hedges.wasted", "{token}", "Tokens of the prompts of cancelled sends.",
			func(c hedge.Counts) int64 { return c.WastedTokens }},
	} {
		_, err := m.Int64ObservableCounter(c.name, metric.WithUnit(c.unit), metric.WithDescription(c.description),
			metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
				o.Observe(c.value(h.Counts()))
				return nil
			}))
		errs = append(errs, err)
	}
	return h, errors.Join(errs...)
}
