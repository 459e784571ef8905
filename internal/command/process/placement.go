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

// addPlacement builds the executor, which works while this VM holds the placement lease, and the residency view.
func addPlacement(p *parts) error {
	l, err := kernel.Find[*lease.Elector](p.kernel, nameLease)
	if err != nil {
		return err
	}
	e := &engines{clock: p.clock}
	pub := feed.NewGlobalPublisher(p.feedConfig(), residencyPrefix+string(p.vm.DataCentre))
	sh := &shares{parts: p, lease: l, client: peer.PoolClient{HTTP: p.client}}
	col := execute.NewCollector(p.clock)
	cfg := execute.Config{
		DataCentre: p.vm.DataCentre, Clock: p.clock, Lease: l, States: p.store, Engine: e.Engine, Demand: col,
		LeasedLoads: sh.loads.Leased, AdapterLimit: p.settings.Platform.AdapterLoads, LeasedAdapters: sh.adapters.Leased,
		Publish: p.publishResidency(pub), ObserveToken: l.RaiseTokenAbove, OperationLifetime: p.settings.OpLifetime, Log: p.log,
	}
	p.platformClients(&cfg)
	x := execute.New(cfg)
	sh.waiting = func() int { return x.Status().WaitingLoads }
	p.peerMux.Handle("POST "+peer.DemandPath, peer.DemandHandler(col, func() bool {
		_, held := l.Held()
		return held
	}))
	if p.control != nil {
		p.pools().Register(p.peerMux)
	}
	r := &residency{store: p.store, dcs: slices.Sorted(maps.Keys(regions(p.settings)))}
	return errors.Join(
		p.kernel.Add(nameEngines, e),
		p.kernel.Add(nameEngines+"-pruning", part.NewRunner(func(ctx context.Context) error { return e.run(ctx, p.store) })),
		p.kernel.Add(nameResidency, r),
		p.kernel.Add(namePublisher, pub),
		p.kernel.Add(namePlacement, x),
		p.kernel.Add(nameShares, part.NewRunner(sh.run)),
	)
}

// platformClients sets the clients of what the platform gives, where the settings name it.
func (p *parts) platformClients(cfg *execute.Config) {
	if a := p.settings.Platform.VMList; a != "" {
		cfg.VMs = vmlist.New(a, p.client)
	}
	if a := p.settings.Platform.WeightStore; a != "" {
		cfg.WeightStore = weightstore.New(a, p.client)
	}
}

// pools returns the pools that this VM hosts while it leads the log.
func (p *parts) pools() *peer.Pools {
	return &peer.Pools{
		Clock: p.clock, Loads: p.settings.Platform.ConcurrentLoads, Adapters: p.settings.Platform.AdapterLoads,
		Leads: func() bool { return p.control.leader() == p.vm.Name },
	}
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
