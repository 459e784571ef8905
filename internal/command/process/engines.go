package process

import (
	"context"
	"sync"

	"github.com/geraniumdeck/geraniumdeck/internal/api/inbound"
	client "github.com/geraniumdeck/geraniumdeck/internal/backend/engine"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// engineClients keeps one client for each engine address, which holds the pool of connections to that engine.
type engineClients struct {
	clock   deck.Clock
	memory  *inbound.Budget
	notices deck.NoticeObserver

	mu        sync.Mutex
	byAddress map[string]*client.Client
}

// Engine returns the client of a backend server and creates it at the first call.
func (e *engineClients) Engine(b deck.BackendServer) deck.Engine {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.byAddress == nil {
		e.byAddress = make(map[string]*client.Client)
	}
	c, ok := e.byAddress[b.Address]
	if !ok {
		c = client.New(b.Address, e.clock, nil)
		c.ReportNotices(b.Name, e.notices)
		c.BoundMemory(e.memory)
		e.byAddress[b.Address] = c
	}
	return c
}

// run prunes the clients at each change of the state in force.
func (e *engineClients) run(ctx context.Context, states deck.StateSource) error {
	for {
		changed := states.Changed()
		e.Prune(states.State())
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// Prune closes and removes the clients of engines that the state does not list.
func (e *engineClients) Prune(s deck.State) {
	listed := make(map[string]bool)
	for _, b := range s.BackendServers() {
		listed[b.Address] = true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for a, c := range e.byAddress {
		if !listed[a] {
			c.Close()
			delete(e.byAddress, a)
		}
	}
}
