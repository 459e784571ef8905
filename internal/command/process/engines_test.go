package process

import (
	"testing"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Guards against a leak of clients of removed engines, and against closing the client of an engine that is still listed.
func TestPruneKeepsListedEngines(t *testing.T) {
	is := is.New(t)
	e := &engineClients{clock: deck.SystemClock{}}
	a := deck.BackendServer{Name: "a", Address: "127.0.0.1:1"}
	b := deck.BackendServer{Name: "b", Address: "127.0.0.1:2"}
	first := e.Engine(a)
	e.Engine(b)
	e.Prune(deck.State{}.WithTicket(deck.Ticket{BackendServers: []deck.BackendServer{a}}, 1))
	is.Equal(len(e.byAddress), 1)
	is.True(e.Engine(a) == first)
}
