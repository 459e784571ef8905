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

// addServing adds the router, the poller of engine reports, the demand reporter and the callers' handler on an entry VM, and
// the distribution of the platform's VM list on every VM.
func addServing(d *deps) error {
	if !d.vm.Has(settings.RoleEntry) {
		return d.addPlatformVMs(nil)
	}
	commands, err := kernel.Find[*statemachine.Client](d.kernel, nameCommands)
	if err != nil {
		return err
	}
	res, err := kernel.Find[*residencyView](d.kernel, nameResidency)
	if err != nil {
		return err
	}
	eng, err := kernel.Find[*engineClients](d.kernel, nameEngines)
	if err != nil {
		return err
	}
	recorder, err := kernel.Find[deck.RequestRecorder](d.kernel, nameRequestRecorder)
	if err != nil {
		return err
	}
	d.restraints.Permits = &permitClient{deps: d}
	d.restraints.SetVMs(d.clock.Now(), d.entryVMs())
	r := router.New(router.Config{
		DataCentre: d.vm.DataCentre, Regions: regions(d.settings), Clock: d.clock, Rand: rand.New(part.NewSource()),
		State: d.store, Residency: res, Poison: commands, Health: health.DefaultPolicy(), Restraints: d.restraints,
	})
	reporter := &demandReporter{deps: d, residency: res, next: recorder, client: peer.DemandClient{HTTP: d.client}}
	h := &caller.Handler{
		Router: r, Engine: eng.Engine, State: d.store, Residency: res, Services: service.New(nil), Idempotency: commands,
		Poison: commands, Clock: d.clock, VM: d.vm.Name, DataCentre: d.vm.DataCentre,
		MaxStreams: d.settings.Limits.MaxStreams, MaxBodyBytes: d.settings.Limits.MaxBodyBytes, Recorder: reporter,
		Leaving: r.IsListedAsLeaving, Memory: d.guard.Memory, Restraints: d.restraints, DrainTimeout: d.settings.Limits.DrainTimeout, Log: d.log,
	}
	w := watch.New(watch.Config{
		VM: d.vm.Name, Clock: d.clock, State: d.store, Residency: res, Client: eng.Engine, Sink: r,
		Restraints: d.restraints,
	})
	return errors.Join(
		d.kernel.Add(nameRouter, part.NewRunner(part.RunInGroup(r.Start))),
		d.kernel.Add(namePoller, part.NewRunner(part.RunInGroup(w.Start))),
		d.kernel.Add(nameDemand, part.NewRunner(reporter.run)),
		d.addPlatformVMs(r.ObserveVMs),
		d.kernel.Add(nameCallers, h),
	)
}

// addPlatformVMs adds the distribution of the platform's VM list: relays read it, and the feed sends it to all VMs of the data
// centre.
func (d *deps) addPlatformVMs(observe func([]deck.VMStatus)) error {
	v := &platformVMs{deps: d, observe: observe, publisher: feed.NewPublisher(d.feedConfig(), vmListPayload)}
	relay := func(q deck.Peer) bool { return q.Name == d.vm.Name }
	if a := d.settings.Platform.VMList; a != "" && slices.ContainsFunc(feed.Relays(d.vm.DataCentre, d.peers), relay) {
		v.list = vmlist.New(a, d.client)
	}
	return errors.Join(
		d.kernel.Add(namePlatformVMs, part.NewRunner(v.run)),
		d.kernel.Add(namePlatformVMs+"-publisher", v.publisher),
	)
}
