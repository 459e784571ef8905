package process

import (
	"github.com/geraniumdeck/geraniumdeck/internal/api/peer"
	"github.com/geraniumdeck/geraniumdeck/internal/state/lease"
)

// addLease adds this VM's voters, and the elector for the placement lease of its data centre.
func addLease(d *deps) error {
	voters := lease.NewLocalVoters(d.vm.Name, d.peers, d.clock, lease.DefaultDuration)
	elector := lease.NewElector(lease.Config{
		Self: d.self, Peers: d.peers, LocalVoters: voters, Transport: peer.LeaseClient{HTTP: d.client}, Clock: d.clock,
		Drift: d.settings.ClockDrift,
	})
	peer.RegisterLease(d.peerMux, voters, elector)
	return d.kernel.Add(nameLease, elector)
}
