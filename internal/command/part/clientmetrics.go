package part

import (
	"context"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/geraniumdeck/geraniumdeck/internal/api/inbound"
)

// RegisterMemory registers the metrics of the bytes that a process holds for its clients.
func RegisterMemory(m metric.Meter, b *inbound.Budget) error {
	held, err1 := m.Int64ObservableGauge("geraniumdeck.clients.held",
		metric.WithUnit("By"), metric.WithDescription("Bytes held for clients by kind."))
	refused, err2 := m.Int64ObservableCounter("geraniumdeck.clients.refused",
		metric.WithUnit("{request}"), metric.WithDescription("Requests that got no memory, by kind of bytes."))
	ended, err3 := m.Int64ObservableCounter("geraniumdeck.clients.ended",
		metric.WithUnit("{request}"), metric.WithDescription("Unfinished requests that ended to make room, by kind of bytes."))
	if err := errors.Join(err1, err2, err3); err != nil {
		return err
	}
	_, err := m.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for _, k := range []inbound.Kind{inbound.Heads, inbound.Bodies, inbound.Answers} {
			u := b.Usage(k)
			kind := metric.WithAttributes(attribute.String("kind", k.String()))
			o.ObserveInt64(held, u.Bytes, kind)
			o.ObserveInt64(refused, u.Refused, kind)
			o.ObserveInt64(ended, u.Ended, kind)
		}
		return nil
	}, held, refused, ended)
	return err
}

// RegisterConnections registers the metrics of a listener's connections.
func RegisterConnections(m metric.Meter, name string, l *inbound.Listener) error {
	open, err1 := m.Int64ObservableGauge("geraniumdeck.connections.open",
		metric.WithUnit("{connection}"), metric.WithDescription("Connections by listener and state."))
	closed, err2 := m.Int64ObservableCounter("geraniumdeck.connections.closed",
		metric.WithUnit("{connection}"), metric.WithDescription("Connections closed for others by listener; reason is evicted or refused."))
	if err := errors.Join(err1, err2); err != nil {
		return err
	}
	_, err := m.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		c := l.Connections()
		observe := func(i metric.Int64Observable, n int64, key, value string) {
			o.ObserveInt64(i, n, metric.WithAttributes(attribute.String("listener", name), attribute.String(key, value)))
		}
		observe(open, int64(c.Headless), "state", "no-request")
		observe(open, int64(c.Idle), "state", "idle")
		observe(open, int64(c.ReadingBody), "state", "reading-body")
		observe(open, int64(c.Active), "state", "active")
		observe(open, int64(c.Leaving), "state", "leaving")
		observe(closed, c.Evicted, "reason", "evicted")
		observe(closed, c.Refused, "reason", "refused")
		return nil
	}, open, closed)
	return err
}
