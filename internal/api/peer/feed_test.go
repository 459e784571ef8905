package peer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/state/feed"
	"github.com/geraniumdeck/geraniumdeck/internal/state/statemachine"
	"github.com/geraniumdeck/geraniumdeck/internal/test/decktest"
)

// A controlVM is a replica of a control VM with its peers' listener on the loopback interface.
type controlVM struct {
	peer  deck.Peer
	store *feed.Store
	prove func()
}

func newControlVM(t *testing.T, log *decktest.FakeLog, name deck.VMName, peers func() []deck.Peer) controlVM {
	t.Helper()
	clock := deck.SystemClock{}
	store := feed.NewStore(name, clock, nil, deck.State{}, false)
	m := statemachine.New(nil, feed.StoreUpdater{Store: store})
	replica := log.AddReplica(name, m)
	mux := http.NewServeMux()
	RegisterPropose(mux, statemachine.Proposer{Self: name, Log: replica, Clock: clock})
	RegisterTicketStatus(mux, lazyTicketReader{name, replica, m, store, peers})
	RegisterFeed(mux, store)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	prover := feed.Prover{Log: replica, Store: store, Clock: clock}
	return controlVM{
		peer:  deck.Peer{Name: name, DataCentre: "graz-a", Address: server.Listener.Addr().String(), Control: true},
		store: store,
		prove: func() { prover.ProveByBarrier(t.Context()) },
	}
}

// A lazyTicketReader reads the list of peers at each call, as the list is complete only after all servers have started.
type lazyTicketReader struct {
	self    deck.VMName
	log     deck.Log
	machine *statemachine.Machine
	store   *feed.Store
	peers   func() []deck.Peer
}

func (r lazyTicketReader) TicketStatus(ctx context.Context, number uint64) (statemachine.TicketStatus, error) {
	reader := feed.TicketReader{Self: r.self, Log: r.log, Machine: r.machine, Store: r.store, Peers: r.peers()}
	return reader.TicketStatus(ctx, number)
}

// Guards against fields that the HTTP codecs lose. A VM without a replica submits a ticket to a follower, which redirects it
// to the leader; then it polls the state and reads the ticket's status.
func TestTicketOverHTTP(t *testing.T) {
	is := is.New(t)
	log := decktest.NewFakeLog()
	var peers []deck.Peer
	a := newControlVM(t, log, "a", func() []deck.Peer { return peers })
	b := newControlVM(t, log, "b", func() []deck.Peer { return peers })
	self := deck.Peer{Name: "e", DataCentre: "graz-a"}
	peers = []deck.Peer{b.peer, a.peer, self}
	client := statemachine.NewClient(statemachine.ClientConfig{
		Self: "e", ControlReplicas: peers[:2], Forwarder: ProposeClient{HTTP: http.DefaultClient}, Clock: deck.SystemClock{},
	})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()

	answer, err := client.SubmitTicket(ctx, decktest.DeploymentTicket(1, 2, 3))
	is.NoErr(err)
	is.Equal(answer.Verdict, deck.TicketAccepted)

	clock := &decktest.ManualClock{}
	store := feed.NewStore("e", clock, nil, deck.State{}, false)
	clock.Advance(time.Minute) // a proof from before the start of the process is not accepted
	transport := FeedClient{HTTP: http.DefaultClient}
	poll := func() {
		sent := clock.Now()
		got, err := transport.Poll(ctx, a.peer, feed.Request{VM: "e", DataCentre: "graz-a", After: store.State().Version()})
		is.NoErr(err)
		store.ApplyResponse(sent, got)
	}
	a.prove()
	poll()
	is.Equal(len(store.State().Models()), 3)
	is.True(store.Proven())
	poll() // confirms the version

	status, err := client.TicketStatus(ctx, 1)
	is.NoErr(err)
	is.Equal(status.Answer, answer)
	is.Equal(status.Confirmed, []deck.VMName{"a", "e"})
	is.Equal(status.CutOff, []deck.VMName{"b"})
}

// Guards against a payload that is distributed to another data centre, or requested although the VM has it.
func TestPayloadOverHTTP(t *testing.T) {
	is := is.New(t)
	a := newControlVM(t, decktest.NewFakeLog(), "a", nil)
	transport := FeedClient{HTTP: http.DefaultClient}
	v := feed.PayloadVersion{Epoch: 1, Sequence: 2}
	wanted, err := transport.Offer(t.Context(), a.peer, "residency~graz", v)
	is.NoErr(err)
	is.True(wanted)
	p := feed.Payload{Name: "residency~graz", DataCentre: "graz-a", Version: v, Data: []byte("x")}
	is.NoErr(transport.Publish(t.Context(), a.peer, p))
	wanted, err = transport.Offer(t.Context(), a.peer, "residency~graz", v)
	is.NoErr(err)
	is.True(!wanted)
	for dc, want := range map[deck.DataCentre]int{"graz-a": 1, "wien-b": 0} {
		got, err := transport.Poll(t.Context(), a.peer, feed.Request{VM: "e", DataCentre: dc})
		is.NoErr(err)
		is.Equal(len(got.Payloads), want)
	}
}
