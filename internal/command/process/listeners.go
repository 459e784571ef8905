package process

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/api/caller"
	"github.com/geraniumdeck/geraniumdeck/internal/api/operator"
	"github.com/geraniumdeck/geraniumdeck/internal/command/part"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/core/kernel"
	"github.com/geraniumdeck/geraniumdeck/internal/report/burn"
	"github.com/geraniumdeck/geraniumdeck/internal/report/telemetry"
	settings "github.com/geraniumdeck/geraniumdeck/internal/settings/yaml"
)

// addListeners binds the VM's listeners. They are registered behind the services that they serve, so that a drain
// reaches the callers' handler with all listeners still open.
func addListeners(p *parts) error {
	ready := &readiness{store: p.store}
	operators, err := p.operatorHandler(ready)
	if err != nil {
		return err
	}
	timeout := p.settings.Limits.HeaderTimeout
	err = errors.Join(
		p.listenToPeers(part.Bounded(p.traffic.counted(part.Lean(p.peerMux)), timeout)),
		p.listen("operators-listener", p.vm.Listen.Operators, part.Bounded(operators, timeout)),
	)
	if p.vm.Has(settings.RoleEntry) {
		h, findErr := kernel.Find[*caller.Handler](p.kernel, nameCallers)
		if findErr != nil {
			return findErr
		}
		srv := caller.NewServer(h)
		srv.ReadHeaderTimeout = timeout
		err = errors.Join(err, p.listen("callers-listener", p.vm.Listen.Callers, srv))
	}
	return errors.Join(err, p.kernel.Add(nameReadiness, ready))
}

func (p *parts) listen(name, address string, srv *http.Server) error {
	l, err := part.Listen(address, srv)
	if err != nil {
		return err
	}
	return p.kernel.Add(name, l)
}

// listenToPeers binds the peers' listener, whose traffic is counted.
func (p *parts) listenToPeers(srv *http.Server) error {
	l, err := part.Listen(p.vm.Listen.Peers, srv)
	if err != nil {
		return err
	}
	l.Socket = countedListener{l.Socket, p.traffic}
	return p.kernel.Add("peers-listener", l)
}

func (p *parts) operatorHandler(ready *readiness) (http.Handler, error) {
	sys, err := kernel.Find[deck.System](p.kernel, nameSystem)
	if err != nil {
		return nil, err
	}
	b, err := kernel.Find[*burn.Recorder](p.kernel, nameBurn)
	if err != nil {
		return nil, err
	}
	m, err := kernel.Find[*telemetry.Metrics](p.kernel, nameMetrics)
	if err != nil {
		return nil, err
	}
	h := &operator.Handler{System: sys, Burn: b.Report, Ready: ready.Ready, Metrics: m.Handler()}
	return h.Mux(), nil
}
