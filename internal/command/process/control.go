package process

import (
	"net/http"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/api/peer"
	"github.com/geraniumdeck/geraniumdeck/internal/command/part"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/place/plan"
	settings "github.com/geraniumdeck/geraniumdeck/internal/settings/yaml"
	"github.com/geraniumdeck/geraniumdeck/internal/state/disk"
	"github.com/geraniumdeck/geraniumdeck/internal/state/feed"
	"github.com/geraniumdeck/geraniumdeck/internal/state/replica"
	"github.com/geraniumdeck/geraniumdeck/internal/state/statemachine"
)

// A control holds the replica of a control VM, with the state machine that it applies entries to.
type control struct {
	machine *statemachine.Machine
	node    *replica.Node
	answers *peer.ReplicaAnswers
}

// newControl opens the log in the data folder and creates the replica that stores its entries there.
func newControl(d *deps) (*control, error) {
	store, err := part.OpenLog(
		filepath.Join(d.vm.DataFolder, "log"), disk.Options{Deployment: d.settings.Deployment, VM: d.vm.Name}, d.log,
	)
	if err != nil {
		return nil, err
	}
	m := statemachine.New(plan.CheckFeasible, feed.StoreUpdater{Store: d.store})
	transport := &peer.ReplicaClient{Address: d.address, Client: d.client, Answers: &peer.ReplicaAnswers{}}
	node, err := replica.NewNode(replica.Options{
		Config:    replica.Config{Deployment: d.settings.Deployment, Founders: founders(d.settings), Rand: part.NewSource()},
		Storage:   store,
		Transport: transport,
		Machine:   m,
		Clock:     d.clock,
		Log:       d.log,
	})
	if err != nil {
		return nil, errors.CombineErrors(err, store.Close())
	}
	transport.Receiver = node
	return &control{machine: m, node: node, answers: transport.Answers}, nil
}

// register adds the replica's handlers to the mux of the peers' listener.
func (c *control) register(mux *http.ServeMux, d *deps) {
	peer.RegisterReplica(mux, c.node, c.answers)
	peer.RegisterPropose(mux, c.proposer(d))
	peer.RegisterTicketStatus(mux, c.ticketReader(d))
}

func (c *control) proposer(d *deps) statemachine.Proposer {
	return statemachine.Proposer{Self: d.vm.Name, Log: c.node, Clock: d.clock}
}

func (c *control) ticketReader(d *deps) feed.TicketReader {
	return feed.TicketReader{Self: d.vm.Name, Log: c.node, Machine: c.machine, Store: d.store, Peers: d.peers}
}

func (c *control) leader() deck.VMName {
	return c.node.Status().Leader.VM
}

func founders(s settings.Settings) []deck.VMName {
	var out []deck.VMName
	for _, v := range s.ControlVMs() {
		out = append(out, v.Name)
	}
	return out
}
