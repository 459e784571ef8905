package process

import (
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/api/peer"
	"github.com/geraniumdeck/geraniumdeck/internal/command/part"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	settings "github.com/geraniumdeck/geraniumdeck/internal/settings/yaml"
	"github.com/geraniumdeck/geraniumdeck/internal/state/disk"
	"github.com/geraniumdeck/geraniumdeck/internal/state/feed"
	"github.com/geraniumdeck/geraniumdeck/internal/state/statemachine"
)

// addState builds the replica, where the VM has the role, the feed, and the typed client of the log.
func addState(p *parts) error {
	if err := p.openStore(); err != nil {
		return err
	}
	if p.vm.Has(settings.RoleControl) {
		c, err := newControl(p)
		if err != nil {
			return err
		}
		p.control = c
		c.register(p.peerMux, p)
		if err := p.kernel.Add(nameNode, c.node); err != nil {
			return err
		}
		prover := feed.Prover{Log: c.node, Store: p.store, Clock: p.clock}
		if err := p.kernel.Add(nameProver, part.NewRunner(prover.Run)); err != nil {
			return err
		}
	}
	peer.RegisterFeed(p.peerMux, p.store)
	return errors.Join(
		p.kernel.Add(nameFeed, feed.NewClient(p.feedConfig())),
		p.kernel.Add(nameCommands, statemachine.NewClient(p.commandConfig())),
	)
}

// openStore loads the state that was in force before a restart, where the VM has a data folder.
func (p *parts) openStore() error {
	if p.vm.DataFolder == "" {
		p.store = feed.NewStore(p.vm.Name, p.clock, nil, deck.State{}, false)
		return nil
	}
	f := disk.StateFile{Folder: filepath.Join(p.vm.DataFolder, "state")}
	s, ok, err := f.Load()
	if err != nil {
		return err
	}
	p.store = feed.NewStore(p.vm.Name, p.clock, f, s, ok)
	return nil
}

func (p *parts) feedConfig() feed.ClientConfig {
	cfg := feed.ClientConfig{
		Self: p.self, Peers: p.peers, Store: p.store, Transport: peer.FeedClient{HTTP: p.client}, Clock: p.clock,
	}
	if p.control != nil {
		cfg.Leader = p.control.leader
	}
	return cfg
}

func (p *parts) commandConfig() statemachine.ClientConfig {
	cfg := statemachine.ClientConfig{
		Self: p.vm.Name, ControlReplicas: controlPeers(p.peers), Forwarder: peer.ProposeClient{HTTP: p.client}, Clock: p.clock,
		IsRefused: feed.NewPoisonList(p.store, p.clock).IsRefused,
	}
	if p.control != nil {
		local := p.control.proposer(p)
		cfg.Local = &local
	}
	return cfg
}
