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

// addListeners binds the VM's listeners. They are registered after the services that they serve, so that all listeners are
// still open when the callers' handler drains.
func addListeners(d *deps) error {
	ready := &readiness{store: d.store}
	operators, err := d.operatorHandler(ready)
	if err != nil {
		return err
	}
	timeout := d.settings.Limits.HeaderTimeout
	err = errors.Join(
		d.listenToPeers(d.guard.NewLimitedServer(d.traffic.countRequests(part.TrimHeaders(d.peerMux)), timeout)),
		d.listen("operators-listener", d.vm.Listen.Operators, d.guard.NewLimitedServer(operators, timeout), part.OperatorsShare),
	)
	if d.vm.Has(settings.RoleEntry) {
		h, findErr := kernel.Find[*caller.Handler](d.kernel, nameCallers)
		if findErr != nil {
			return findErr
		}
		srv := caller.NewServer(h)
		srv.ReadHeaderTimeout = timeout
		err = errors.Join(err, d.listen("callers-listener", d.vm.Listen.Callers, srv, part.CallersShare))
	}
	return errors.Join(err, d.kernel.Add(nameReadiness, ready))
}

func (d *deps) listen(name, address string, srv *http.Server, share float64) error {
	l, err := part.Listen(address, srv)
	if err != nil {
		return err
	}
	_, err = d.guard.Protect(name, l, share)
	return errors.Join(err, d.kernel.Add(name, l))
}

// listenToPeers binds the peers' listener and counts its traffic.
func (d *deps) listenToPeers(srv *http.Server) error {
	l, err := part.Listen(d.vm.Listen.Peers, srv)
	if err != nil {
		return err
	}
	l.Socket = countingListener{l.Socket, d.traffic}
	_, err = d.guard.Protect("peers-listener", l, part.PeersShare)
	return errors.Join(err, d.kernel.Add("peers-listener", l))
}

func (d *deps) operatorHandler(ready *readiness) (http.Handler, error) {
	sys, err := kernel.Find[deck.OperatorAPI](d.kernel, nameOperatorAPI)
	if err != nil {
		return nil, err
	}
	b, err := kernel.Find[*burn.Recorder](d.kernel, nameBurn)
	if err != nil {
		return nil, err
	}
	m, err := kernel.Find[*telemetry.Metrics](d.kernel, nameMetrics)
	if err != nil {
		return nil, err
	}
	h := &operator.Handler{API: sys, BurnReport: b.Report, Ready: ready.Ready, Metrics: m.Handler()}
	return h.Mux(), nil
}
