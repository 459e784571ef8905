package process

import (
	"github.com/geraniumdeck/geraniumdeck/internal/api/peer"
	"github.com/geraniumdeck/geraniumdeck/internal/state/lease"
)

// addLease builds this VM's voters and its elector for the placement lease of its data centre.
func addLease(p *parts) error {
	voters := lease.NewLocalVoters(p.vm.Name, p.peers, p.clock, lease.DefaultDuration)
	elector := lease.NewElector(lease.Config{
		Self: p.self, Peers: p.peers, LocalVoters: voters, Transport: peer.LeaseClient{HTTP: p.client}, Clock: p.clock,
		Drift: p.settings.ClockDrift,
	})
	peer.RegisterLease(p.peerMux, voters, elector)
	return p.kernel.Add(nameLease, elector)
}
