package process

import (
	"context"
	"net/http"
	"time"

	"github.com/go-logr/logr"

	"github.com/geraniumdeck/geraniumdeck/internal/command/part"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/core/kernel"
	"github.com/geraniumdeck/geraniumdeck/internal/core/restraint"
	settings "github.com/geraniumdeck/geraniumdeck/internal/settings/yaml"
	"github.com/geraniumdeck/geraniumdeck/internal/state/feed"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/httpresponse"
)

// A Process runs the services and listeners of one VM.
type Process struct {
	kernel kernel.Kernel
}

// deps holds the settings, clients and stores that services share. The assembly steps fill it in.
type deps struct {
	settings settings.Settings
	vm       settings.VM
	self     deck.Peer
	peers    []deck.Peer
	clock    deck.Clock
	log      logr.Logger
	client   *http.Client // for requests to other VMs
	traffic  *trafficCounter
	guard    part.Guard
	store    *feed.Store
	control  *control // nil on a VM without the role control
	kernel   *kernel.Kernel
	peerMux  *http.ServeMux

	restraints *restraint.Table // what backend servers say about the requests that they take
}

// New assembles the process of a VM. Its listeners are bound when New returns.
func New(s settings.Settings, vm settings.VM, log logr.Logger) (*Process, error) {
	p := &Process{kernel: kernel.Kernel{Log: log}}
	d := newDeps(s, vm, log, &p.kernel)
	for _, step := range []func(*deps) error{
		addMetrics, addState, addLease, addPlacement, addStatusMetrics, addServing, addOperatorAPI, addListeners,
	} {
		if err := step(d); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func newDeps(s settings.Settings, vm settings.VM, log logr.Logger, k *kernel.Kernel) *deps {
	return &deps{
		settings: s, vm: vm, self: newPeer(vm), peers: newPeers(s), clock: deck.SystemClock{}, log: log,
		kernel: k, peerMux: http.NewServeMux(), restraints: &restraint.Table{Log: log, Self: vm.Name},
	}
}

// Run runs the services until stop ends, and then drains them. The end of kill stops them at once.
func (p *Process) Run(stop, kill context.Context) error {
	return p.kernel.Run(stop, kill)
}

// dialTimeout is the timeout for opening a connection to another VM.
const dialTimeout = 2 * time.Second

// newPeerClient returns the client for requests to other VMs, with few idle connections per VM.
func newPeerClient(t *trafficCounter) *http.Client {
	return &http.Client{Transport: part.TrimHeadersTransport{Next: &httpresponse.Transport{Base: http.Transport{
		DialContext:            t.dial,
		MaxIdleConnsPerHost:    4,
		MaxResponseHeaderBytes: part.MaxResponseHeadBytes,
		DisableCompression:     true,                 // the messages are short
		IdleConnTimeout:        part.IdleTimeout / 2, // below the server's, which then rarely closes a reused connection
	}}}}
}

// address returns the address of a VM's peers' listener.
func (d *deps) address(vm deck.VMName) (string, bool) {
	for _, q := range d.peers {
		if q.Name == vm {
			return q.Address, true
		}
	}
	return "", false
}
