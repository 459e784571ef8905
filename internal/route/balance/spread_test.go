package balance

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// Load pattern: calls that full servers turn away are expected to fill all others too, as many entry VMs reckon by the same report. Guards
// against VMs that then all choose the same server.
func TestDrawWithoutRoomSpreads(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	servers := make([]spreadServer, 4)
	drawn := make(map[*serverState]int)
	for i := range servers {
		servers[i] = spreadServer{state: &serverState{}, inFlight: 9, capacity: 8, slots: 4, slowdown: 1, rivals: 1}
	}
	is.Equal(spread(servers, 1), 0.0)
	for range 400 {
		drawn[draw(servers, random)]++
	}
	for _, s := range servers {
		is.True(drawn[s.state] > 60)
	}
}
