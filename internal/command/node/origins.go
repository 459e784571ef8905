package node

import (
	"context"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/metric"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	settings "github.com/geraniumdeck/geraniumdeck/internal/settings/node"
	"github.com/geraniumdeck/geraniumdeck/internal/state/origin"
)

// newOriginLedger returns a control VM's records of where streams began, as its file has them, with their metrics.
func newOriginLedger(n *Node, s settings.Settings) (*origin.Ledger, error) {
	l := &origin.Ledger{Folder: s.DataFolder, FirstStart: s.FirstStart, Log: n.log}
	l.Load()
	_, err := n.metrics.Meter().Int64ObservableGauge("geraniumdeck.stream-origins",
		metric.WithUnit("{stream}"), metric.WithDescription("Streams whose origin this VM keeps."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(int64(l.Len()))
			return nil
		}))
	return l, err
}

// newOriginRegistry returns what shares the origins of streams among entry VMs, with its metrics.
func newOriginRegistry(n *Node, s settings.Settings, client deck.OriginClient, peers func() []deck.VMName) (*origin.Registry, error) {
	r := &origin.Registry{Self: s.PeerName(), Peers: peers, Client: client, Log: n.log}
	var errs []error
	for _, c := range []struct {
		name, unit, description string
		value                   func(origin.Counts) int64
	}{
		{"geraniumdeck.stream-origins.recorded", "{stream}", "Streams whose origin this VM has recorded.",
			func(c origin.Counts) int64 { return c.Recorded }},
		{"geraniumdeck.stream-origins.lost", "{record}", "Records not delivered to a control VM before they expired.",
			func(c origin.Counts) int64 { return c.Lost }},
		{"geraniumdeck.stream-origins.found", "{stream}", "Streams whose origin was found.",
			func(c origin.Counts) int64 { return c.Found }},
		{"geraniumdeck.stream-origins.not-found", "{stream}", "Streams whose origin was unknown.",
			func(c origin.Counts) int64 { return c.NotFound }},
	} {
		_, err := n.metrics.Meter().Int64ObservableCounter(c.name, metric.WithUnit(c.unit), metric.WithDescription(c.description),
			metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
				o.Observe(c.value(r.Counts()))
				return nil
			}))
		errs = append(errs, err)
	}
	return r, errors.Join(errs...)
}
