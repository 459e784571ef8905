package process

import (
	"math/rand/v2"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/api/caller"
	"github.com/geraniumdeck/geraniumdeck/internal/api/peer"
	"github.com/geraniumdeck/geraniumdeck/internal/backend/service"
	"github.com/geraniumdeck/geraniumdeck/internal/command/part"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/core/kernel"
	"github.com/geraniumdeck/geraniumdeck/internal/platform/vmlist"
	"github.com/geraniumdeck/geraniumdeck/internal/route/health"
	"github.com/geraniumdeck/geraniumdeck/internal/route/router"
	"github.com/geraniumdeck/geraniumdeck/internal/route/watch"
	settings "github.com/geraniumdeck/geraniumdeck/internal/settings/yaml"
	"github.com/geraniumdeck/geraniumdeck/internal/state/feed"
	"github.com/geraniumdeck/geraniumdeck/internal/state/statemachine"
)

// addServing builds the router and the callers' handler on an entry VM.
func addServing(p *parts) error {
	if !p.vm.Has(settings.RoleEntry) {
		return p.addVMs(nil)
	}
	commands, err := kernel.Find[*statemachine.Client](p.kernel, nameCommands)
	if err != nil {
		return err
	}
	res, err := kernel.Find[*residency](p.kernel, nameResidency)
	if err != nil {
		return err
	}
	eng, err := kernel.Find[*engines](p.kernel, nameEngines)
	if err != nil {
		return err
	}
	served, err := kernel.Find[deck.ServedRecorder](p.kernel, nameServed)
	if err != nil {
		return err
	}
	r := router.New(router.Config{
		DataCentre: p.vm.DataCentre, Regions: regions(p.settings), Clock: p.clock, Rand: rand.New(part.NewSource()),
		State: p.store, Residency: res, Poison: commands, Health: health.DefaultPolicy(),
	})
	d := &demand{parts: p, residency: res, next: served, client: peer.DemandClient{HTTP: p.client}}
	h := &caller.Handler{
		Router: r, Engine: eng.Engine, State: p.store, Residency: res, Services: service.New(nil), Idempotency: commands,
		Poison: commands, Clock: p.clock, VM: p.vm.Name, DataCentre: p.vm.DataCentre,
		MaxStreams: p.settings.Limits.MaxStreams, MaxBody: p.settings.Limits.MaxBodyBytes, Served: d,
	}
	w := watch.New(watch.Config{
		VM: p.vm.Name, Clock: p.clock, State: p.store, Residency: res, Client: eng.Engine, Sink: r,
	})
	return errors.Join(
		p.kernel.Add(nameRouter, part.NewRunner(part.GroupRun(r.Start))),
		p.kernel.Add(nameWatch, part.NewRunner(part.GroupRun(w.Start))),
		p.kernel.Add(nameDemand, part.NewRunner(d.run)),
		p.addVMs(r.ObserveVMs),
		p.kernel.Add(nameCallers, h),
	)
}

// addVMs builds the way of the platform's list: relays read it and the feed brings it to all VMs of the data centre.
func (p *parts) addVMs(observe func([]deck.VMStatus)) error {
	v := &platformVMs{parts: p, observe: observe, publisher: feed.NewPublisher(p.feedConfig(), vmsPayload)}
	relay := func(q deck.Peer) bool { return q.Name == p.vm.Name }
	if a := p.settings.Platform.VMList; a != "" && slices.ContainsFunc(feed.Relays(p.vm.DataCentre, p.peers), relay) {
		v.list = vmlist.New(a, p.client)
	}
	return errors.Join(
		p.kernel.Add(nameVMs, part.NewRunner(v.run)),
		p.kernel.Add(nameVMs+"-publisher", v.publisher),
	)
}
