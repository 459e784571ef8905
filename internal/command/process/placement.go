package process

import (
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/core/kernel"
	"github.com/geraniumdeck/geraniumdeck/internal/place/execute"
	"github.com/geraniumdeck/geraniumdeck/internal/state/feed"
	"github.com/geraniumdeck/geraniumdeck/internal/state/lease"
)

// addPlacement builds the executor, which works while this VM holds the placement lease, and the residency view.
func addPlacement(p *parts) error {
	l, err := kernel.Find[*lease.Runtime](p.kernel, nameLease)
	if err != nil {
		return err
	}
	e := &engines{clock: p.clock}
	pub := feed.NewGlobalPublisher(p.feedConfig(), residencyPrefix+string(p.vm.DataCentre))
	x := execute.New(execute.Config{
		DataCentre: p.vm.DataCentre, Clock: p.clock, Lease: l, States: p.store, Engine: e.Engine,
		Publish: p.publishResidency(pub), ObserveToken: l.RaiseTo, Log: p.log,
	})
	r := &residency{store: p.store, dcs: slices.Sorted(maps.Keys(regions(p.settings)))}
	return errors.Join(
		p.kernel.Add(nameEngines, e),
		p.kernel.Add(nameResidency, r),
		p.kernel.Add(namePublisher, pub),
		p.kernel.Add(namePlacement, x),
	)
}

// publishResidency returns a function that puts a table in force everywhere; its version carries the fencing token.
func (p *parts) publishResidency(pub *feed.Publisher) func(deck.ResidencyTable) {
	return func(t deck.ResidencyTable) {
		data, err := encodeResidency(p.vm.Name, t)
		if err != nil {
			p.log.Error(err, "residency not published")
			return
		}
		token, n := execute.SplitVersion(t.Version())
		pub.Publish(feed.PayloadVersion{Epoch: token, Sequence: n}, data)
	}
}
