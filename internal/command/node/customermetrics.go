package node

import (
	"context"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/geraniumdeck/geraniumdeck/internal/api/ingress"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/core/revocation"
)

const (
	maxCountedCustomers = 256     // customers with counters of their own
	otherCustomers      = "other" // stands for all further ones
)

// customerMetrics counts calls by customer, and those that are refused because of their keys.
type customerMetrics struct {
	calls    metric.Int64Counter
	refusals metric.Int64Counter

	mu      sync.Mutex
	counted map[deck.CustomerName]bool
}

func newCustomerMetrics(m metric.Meter, keys *revocation.Guard) (*customerMetrics, error) {
	c := &customerMetrics{counted: make(map[deck.CustomerName]bool)}
	var errs [3]error
	c.calls, errs[0] = m.Int64Counter("geraniumdeck.customer.calls",
		metric.WithUnit("{call}"), metric.WithDescription("Ended calls with a key by customer and status."))
	c.refusals, errs[1] = m.Int64Counter("geraniumdeck.key.refusals",
		metric.WithUnit("{call}"), metric.WithDescription("Calls refused because of their API keys, by reason."))
	_, errs[2] = m.Float64ObservableGauge("geraniumdeck.configuration.confirmed.age",
		metric.WithUnit("s"), metric.WithDescription("Time since the configuration was confirmed, where keys depend on it."),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			if age, ok := keys.Age(); ok {
				o.Observe(age.Seconds())
			}
			return nil
		}))
	return c, errors.Join(errs[:]...)
}

func (c *customerMetrics) record(r ingress.CallRecord) {
	if r.Customer == "" {
		return
	}
	c.calls.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("customer", c.label(r.Customer)), attribute.String("status", strconv.Itoa(r.Status))))
}

func (c *customerMetrics) recordRefusal(r ingress.KeyRefusal) {
	c.refusals.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", string(r))))
}

// label returns the customer's name for its counters; customers beyond the first ones share counters.
func (c *customerMetrics) label(name deck.CustomerName) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.counted[name] {
		if len(c.counted) >= maxCountedCustomers {
			return otherCustomers
		}
		c.counted[name] = true
	}
	return string(name)
}
