package process

import (
	"context"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/api/peer"
	"github.com/geraniumdeck/geraniumdeck/internal/command/part"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/core/kernel"
	"github.com/geraniumdeck/geraniumdeck/internal/place/execute"
	"github.com/geraniumdeck/geraniumdeck/internal/platform/vmlist"
	"github.com/geraniumdeck/geraniumdeck/internal/platform/weightstore"
	"github.com/geraniumdeck/geraniumdeck/internal/state/feed"
	"github.com/geraniumdeck/geraniumdeck/internal/state/lease"
)

// addPlacement adds the executor, which is active while this VM holds the placement lease, the engine clients that it uses,
// and the residency with its publisher.
func addPlacement(d *deps) error {
	l, err := kernel.Find[*lease.Elector](d.kernel, nameLease)
	if err != nil {
		return err
	}
	e := &engineClients{clock: d.clock, notices: d.restraints, memory: d.guard.Memory}
	pub := feed.NewGlobalPublisher(d.feedConfig(), residencyPrefix+string(d.vm.DataCentre))
	sh := &shareRenewer{deps: d, lease: l, client: peer.PoolClient{HTTP: d.client}}
	col := execute.NewCollector(d.clock)
	cfg := execute.Config{
		DataCentre: d.vm.DataCentre, Clock: d.clock, Lease: l, States: d.store, Engine: e.Engine, Demand: col,
		LeasedLoads: sh.loads.Leased, AdapterLimit: d.settings.Platform.AdapterLoadsInFlight, LeasedAdapters: sh.adapters.Leased,
		Publish: d.publishResidency(pub), ObserveToken: l.RaiseTokenAbove,
		OperationLifetime: d.settings.OperationLifetime, Restraints: d.restraints, Log: d.log,
	}
	d.setPlatformClients(&cfg)
	x := execute.New(cfg)
	sh.waitingLoads = func() int { return x.Status().WaitingLoads }
	d.peerMux.Handle("POST "+peer.DemandPath, peer.DemandHandler(col, func() bool {
		_, held := l.Held()
		return held
	}))
	if d.control != nil {
		d.pools().Register(d.peerMux)
		peer.RegisterPermits(d.peerMux, d.sharedPermits())
	}
	r := &residencyView{store: d.store, dataCentres: slices.Sorted(maps.Keys(regions(d.settings)))}
	return errors.Join(
		d.kernel.Add(nameEngines, e),
		d.kernel.Add(nameEngines+"-pruning", part.NewRunner(func(ctx context.Context) error { return e.run(ctx, d.store) })),
		d.kernel.Add(nameResidency, r),
		d.kernel.Add(nameResidencyPublisher, pub),
		d.kernel.Add(namePlacement, x),
		d.kernel.Add(nameLoadShares, part.NewRunner(sh.run)),
	)
}

// setPlatformClients sets the clients of the platform's VM list and weight store if the settings give their addresses.
func (d *deps) setPlatformClients(cfg *execute.Config) {
	if a := d.settings.Platform.VMList; a != "" {
		cfg.VMs = vmlist.New(a, d.client)
	}
	if a := d.settings.Platform.WeightStore; a != "" {
		cfg.WeightStore = weightstore.New(a, d.client)
	}
}

// pools returns the pools of load slots that this VM leases out while it leads the log.
func (d *deps) pools() *peer.Pools {
	return &peer.Pools{
		Clock: d.clock, LoadLimit: d.settings.Platform.ConcurrentLoads,
		AdapterLoadLimit: d.settings.Platform.AdapterLoadsInFlight,
		IsLeader:         func() bool { return d.control.leader() == d.vm.Name },
	}
}

// publishResidency returns a function that publishes a table to all VMs. The payload's version contains the fencing token, so
// that a table of a former leader does not replace a newer one.
func (d *deps) publishResidency(pub *feed.Publisher) func(deck.ResidencyTable) {
	return func(t deck.ResidencyTable) {
		data, err := encodeResidency(d.vm.Name, t)
		if err != nil {
			d.log.Error(err, "encoding of the residency table failed; the table is not published")
			return
		}
		token, n := execute.SplitVersion(t.Version())
		pub.Publish(feed.PayloadVersion{Epoch: token, Sequence: n}, data)
	}
}
