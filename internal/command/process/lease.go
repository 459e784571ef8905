package process

import (
	"github.com/geraniumdeck/geraniumdeck/internal/api/peer"
	"github.com/geraniumdeck/geraniumdeck/internal/state/lease"
)

// addLease builds this VM's votes and its candidacy for the placement lease of its data centre.
func addLease(p *parts) error {
	votes := lease.NewLocalVoters(p.vm.Name, p.peers, p.clock, lease.DefaultDuration)
	r := lease.NewElector(lease.Config{
		Self: p.self, Peers: p.peers, Voters: votes, Transport: peer.LeaseClient{HTTP: p.client}, Clock: p.clock,
		Drift: p.settings.ClockDrift,
	})
	peer.RegisterLease(p.peerMux, votes, r)
	return p.kernel.Add(nameLease, r)
}
