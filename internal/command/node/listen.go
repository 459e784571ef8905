package node

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/api/inbound"
	"github.com/geraniumdeck/geraniumdeck/internal/command/part"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	settings "github.com/geraniumdeck/geraniumdeck/internal/settings/node"
)

// newLimits returns what the process may take in all.
func newLimits(s settings.Settings) inbound.Limits {
	out := inbound.Limits{MemoryBytes: int64(s.MemoryMiB) * int64(deck.MiB), Descriptors: part.MaxDescriptors()}
	if s.MaxDescriptors > 0 && (out.Descriptors == 0 || s.MaxDescriptors < out.Descriptors) {
		out.Descriptors = s.MaxDescriptors
	}
	return out
}

// listen binds an address and adds its listener as a service, which may use a share of the descriptors; an empty address adds none.
func (n *Node) listen(name, address string, srv *http.Server, share float64) (*inbound.Listener, error) {
	if address == "" {
		return nil, nil
	}
	l, err := part.Listen(address, srv)
	if err != nil {
		return nil, errors.Wrap(err, name)
	}
	guarded, err := n.guard.Protect(name, l, share)
	return guarded, errors.Join(err, n.kernel.Add(name, l))
}

// listenLimited is like listen, for a listener of operators, other VMs or probes.
func (n *Node) listenLimited(name, address string, h http.Handler, share float64) error {
	_, err := n.listen(name, address, n.guard.NewLimitedServer(h, headerTimeout), share)
	return err
}
