package process

import (
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	settings "github.com/geraniumdeck/geraniumdeck/internal/settings/yaml"
)

// newPeers returns all VMs of the deployment as peers.
func newPeers(s settings.Settings) []deck.Peer {
	out := make([]deck.Peer, 0, len(s.VMs))
	for _, v := range s.VMs {
		out = append(out, newPeer(v))
	}
	return out
}

func newPeer(v settings.VM) deck.Peer {
	return deck.Peer{
		Name: v.Name, DataCentre: v.DataCentre, Region: v.Region, Address: v.Listen.Peers,
		Control: v.Has(settings.RoleControl),
	}
}

// controlPeers returns the VMs that hold a replica of the log.
func controlPeers(peers []deck.Peer) []deck.Peer {
	var out []deck.Peer
	for _, p := range peers {
		if p.Control {
			out = append(out, p)
		}
	}
	return out
}

// regions returns the region of each data centre.
func regions(s settings.Settings) map[deck.DataCentre]deck.Region {
	out := make(map[deck.DataCentre]deck.Region)
	for _, v := range s.VMs {
		out[v.DataCentre] = v.Region
	}
	return out
}
