package node

import (
	"context"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/geraniumdeck/geraniumdeck/internal/command/part"
	"github.com/geraniumdeck/geraniumdeck/internal/core/allowance"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	settings "github.com/geraniumdeck/geraniumdeck/internal/settings/node"
)

// newLedger returns the account of allowances, out of which a control VM grants credit while it leads.
func (c *controlVM) newLedger(s settings.Settings) *allowance.SharedLedger {
	return &allowance.SharedLedger{
		Monitor: c.replica, Log: c.replica, Clock: deck.BootClock{}, MaxLeadershipAge: maxLeadershipAge, Config: c.config.Load,
		Bounds: allowance.Bounds{
			Window: s.Bounds.AllowanceWindow, Overshoot: s.Bounds.AllowanceOvershoot, Slack: s.Bounds.AllowanceSlack,
		},
	}
}

// newAllowances returns what an entry VM holds of the allowances, with its metrics.
func newAllowances(n *Node, s settings.Settings, source deck.CreditSource) (*allowance.Table, error) {
	t := &allowance.Table{
		Log: n.log, Self: s.PeerName(), Process: part.NewSource().Uint64(), Clock: deck.BootClock{}, Source: source,
	}
	return t, addAllowanceMetrics(n.metrics.Meter(), t)
}

// addAllowanceMetrics adds the counters of credit by customer, of those that used most.
func addAllowanceMetrics(m metric.Meter, t *allowance.Table) error {
	var errs [4]error
	granted, err := m.Float64ObservableCounter("geraniumdeck.allowance.granted",
		metric.WithUnit("{unit}"), metric.WithDescription("Credit of customers' allowances that was granted to this VM."))
	errs[0] = err
	used, err := m.Float64ObservableUpDownCounter("geraniumdeck.allowance.used",
		metric.WithUnit("{unit}"), metric.WithDescription("Credit that calls have used; calls that did not run give it back."))
	errs[1] = err
	refused, err := m.Int64ObservableCounter("geraniumdeck.allowance.refusals",
		metric.WithUnit("{call}"), metric.WithDescription("Calls refused since their customer was over its allowance."))
	errs[2] = err
	_, errs[3] = m.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for _, u := range t.Usage(maxCountedCustomers) {
			customer := metric.WithAttributes(attribute.String("customer", string(u.Customer)))
			o.ObserveFloat64(granted, u.Granted, customer)
			o.ObserveFloat64(used, u.Used, customer)
			o.ObserveInt64(refused, int64(u.Refused), customer)
		}
		return nil
	}, granted, used, refused)
	return errors.Join(errs[:]...)
}
