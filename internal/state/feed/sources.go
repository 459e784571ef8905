package feed

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Number of relays, the VMs that poll other data centres on behalf of their own if it has no control replica.
const (
	minRelays   = 2
	vmsPerRelay = 8 // with 16, a relay's polls exceed the 8 KB/s of control traffic that a VM may use
)

// Relays returns the relays of a data centre: its first VMs by rendezvous hash, one per eight VMs and at least two.
func Relays(dc deck.DataCentre, peers []deck.Peer) []deck.Peer {
	var own []deck.Peer
	for _, p := range peers {
		if p.DataCentre == dc {
			own = append(own, p)
		}
	}
	sortByRendezvous(own, string(dc))
	return own[:min(len(own), max(minRelays, len(own)/vmsPerRelay))]
}

// Sources returns the VMs that self polls, in order of preference: the control replicas of its data centre, the relays of its
// data centre, and the control replicas elsewhere, nearest first. Relays do not poll relays, and control replicas poll only
// the leader and other control replicas, so that no VM polls itself through others.
func Sources(self deck.Peer, peers []deck.Peer, leader deck.VMName) []deck.Peer {
	relays := Relays(self.DataCentre, peers)
	isRelay := slices.ContainsFunc(relays, func(p deck.Peer) bool { return p.Name == self.Name })
	sortByRendezvous(relays, string(self.Name))
	var order []deck.Peer
	add := func(p deck.Peer) {
		listed := slices.ContainsFunc(order, func(o deck.Peer) bool { return o.Name == p.Name })
		if p.Name != self.Name && !listed {
			order = append(order, p)
		}
	}
	control := controlByDistance(self, peers)
	for _, p := range control {
		if self.Control && p.Name == leader || !self.Control && p.DataCentre == self.DataCentre {
			add(p)
		}
	}
	for _, p := range relays {
		if !isRelay && !self.Control {
			add(p)
		}
	}
	for _, p := range control {
		add(p)
	}
	return order
}

// controlByDistance returns the control replicas: those in self's data centre, then those in its region, then the rest.
func controlByDistance(self deck.Peer, peers []deck.Peer) []deck.Peer {
	var out []deck.Peer
	for _, p := range peers {
		if p.Control {
			out = append(out, p)
		}
	}
	sortByRendezvous(out, string(self.Name))
	slices.SortStableFunc(out, func(a, b deck.Peer) int { return cmp.Compare(distance(self, a), distance(self, b)) })
	return out
}

func distance(a, b deck.Peer) int {
	switch {
	case a.DataCentre == b.DataCentre:
		return 0
	case a.Region == b.Region:
		return 1
	default:
		return 2
	}
}

// sortByRendezvous sorts peers by their rendezvous hash with a key, highest first.
func sortByRendezvous(peers []deck.Peer, key string) {
	weight := func(p deck.Peer) uint64 { return xxhash.Sum64String(key + "\x00" + string(p.Name)) }
	slices.SortFunc(peers, func(a, b deck.Peer) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.Name, b.Name))
	})
}
