package process

import (
	"github.com/geraniumdeck/geraniumdeck/internal/api/peer"
	"github.com/geraniumdeck/geraniumdeck/internal/state/lease"
)

// addLease builds this VM's votes and its candidacy for the placement lease of its data centre.
func addLease(p *parts) error {
	votes := lease.NewVotes(p.vm.Name, p.peers, p.clock, lease.Duration)
	r := lease.NewRuntime(lease.Config{
		Self: p.self, Peers: p.peers, Votes: votes, Transport: peer.LeaseClient{HTTP: p.client}, Clock: p.clock,
		Drift: p.settings.ClockDrift,
	})
	peer.RegisterLease(p.peerMux, votes, r)
	return p.kernel.Add(nameLease, r)
}
