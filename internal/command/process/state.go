package process

import (
	"context"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/api/peer"
	"github.com/geraniumdeck/geraniumdeck/internal/command/part"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	settings "github.com/geraniumdeck/geraniumdeck/internal/settings/yaml"
	"github.com/geraniumdeck/geraniumdeck/internal/state/disk"
	"github.com/geraniumdeck/geraniumdeck/internal/state/feed"
	"github.com/geraniumdeck/geraniumdeck/internal/state/statemachine"
)

// saveAgainInterval is the time between two attempts to write the state to a full disk.
const saveAgainInterval = time.Second

// addState adds the replica of the log on a control VM, and the clients of the feed and of the state machine.
func addState(d *deps) error {
	if err := d.openStore(); err != nil {
		return err
	}
	if d.vm.Has(settings.RoleControl) {
		c, err := newControl(d)
		if err != nil {
			return err
		}
		d.control = c
		c.register(d.peerMux, d)
		if err := d.kernel.Add(nameLog, c.node); err != nil {
			return err
		}
		prover := feed.Prover{Log: c.node, Store: d.store, Clock: d.clock}
		if err := d.kernel.Add(nameProver, part.NewRunner(prover.Run)); err != nil {
			return err
		}
	}
	peer.RegisterFeed(d.peerMux, d.store)
	return errors.Join(
		d.kernel.Add(nameFeed, feed.NewClient(d.feedConfig())),
		d.kernel.Add(nameCommands, statemachine.NewClient(d.commandConfig())),
	)
}

// openStore creates the store. On a VM with a data folder it loads the state that was in force before a restart.
func (d *deps) openStore() error {
	if d.vm.DataFolder == "" {
		d.store = feed.NewStore(d.vm.Name, d.clock, nil, deck.State{}, false)
		return nil
	}
	f := disk.StateFile{Folder: filepath.Join(d.vm.DataFolder, "state")}
	s, ok, err := f.Load()
	if err != nil {
		return err
	}
	d.store = feed.NewStore(d.vm.Name, d.clock, f, s, ok)
	return d.kernel.Add(nameStateFile, part.NewRunner(func(ctx context.Context) error {
		deck.Every(ctx, saveAgainInterval, func(context.Context) { d.store.SaveAgain() })
		return nil
	}))
}

func (d *deps) feedConfig() feed.ClientConfig {
	cfg := feed.ClientConfig{
		Self: d.self, Peers: d.peers, Store: d.store, Transport: peer.FeedClient{HTTP: d.client}, Clock: d.clock,
	}
	if d.control != nil {
		cfg.Leader = d.control.leader
	}
	return cfg
}

func (d *deps) commandConfig() statemachine.ClientConfig {
	cfg := statemachine.ClientConfig{
		Self: d.vm.Name, ControlReplicas: controlPeers(d.peers), Forwarder: peer.ProposeClient{HTTP: d.client}, Clock: d.clock,
		IsRefused: feed.NewPoisonList(d.store, d.clock).IsRefused,
	}
	if d.control != nil {
		local := d.control.proposer(d)
		cfg.Local = &local
	}
	return cfg
}
