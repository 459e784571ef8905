package peer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Guards against a confirmation that counts from a later time at the receiver than at the leader.
func TestConfirmationIsRoundedDown(t *testing.T) {
	for _, after := range []time.Duration{
		0, 1, -1, time.Millisecond, -time.Millisecond, 1500 * time.Microsecond, -1500 * time.Microsecond, -time.Hour,
	} {
		is := is.New(t)
		sent := deck.ViewAnswer{Confirmed: deck.ConfigConfirmation{Version: 7, After: after}}
		got := viewAnswerFromWire(viewAnswerToWire(sent)).Confirmed
		is.Equal(got.Version, uint64(7))
		is.True(got.After <= after)
		is.True(got.After > after-time.Millisecond)
	}
}

// TestSoftwareVersionsAreSent guards against entry VMs that can't tell the software versions of backend servers apart.
func TestSoftwareVersionsAreSent(t *testing.T) {
	is := is.New(t)
	servers := []deck.Server{{ID: "a", Service: "llm", Software: "v1"}, {ID: "b", Service: "llm"}}
	is.Equal(viewAnswerFromWire(viewAnswerToWire(deck.ViewAnswer{Servers: servers})).Servers, servers)
}

// Guards against VMs that take the calls of their own data centre for those of others, also beside a leader that does not tell them.
func TestNearCallsAreSent(t *testing.T) {
	is := is.New(t)
	calls := []deck.ServerCalls{{Server: "a", Calls: 5, Near: 2}, {Server: "b", Calls: 3}}
	w := viewAnswerToWire(deck.ViewAnswer{CallsInFlight: calls})
	is.Equal(viewAnswerFromWire(w).CallsInFlight, calls)
	w.Near = nil
	is.Equal(viewAnswerFromWire(w).CallsInFlight, []deck.ServerCalls{{Server: "a", Calls: 5}, {Server: "b", Calls: 3}})
}
