package process

import (
	"context"
	"sync"

	client "github.com/geraniumdeck/geraniumdeck/internal/backend/engine"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// engines keeps a client for each engine address; a client holds the engine's pooled connections.
type engines struct {
	clock deck.Clock

	mu      sync.Mutex
	clients map[string]*client.Client
}

// Engine returns the client of a backend server.
func (e *engines) Engine(b deck.BackendServer) deck.Engine {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.clients == nil {
		e.clients = make(map[string]*client.Client)
	}
	c, ok := e.clients[b.Address]
	if !ok {
		c = client.New(b.Address, e.clock, nil)
		e.clients[b.Address] = c
	}
	return c
}

// run prunes the clients whenever the state in force changes.
func (e *engines) run(ctx context.Context, states deck.StateSource) error {
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

// Prune closes the clients of engines that the state no longer lists.
func (e *engines) Prune(s deck.State) {
	listed := make(map[string]bool)
	for _, b := range s.BackendServers() {
		listed[b.Address] = true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for a, c := range e.clients {
		if !listed[a] {
			c.Close()
			delete(e.clients, a)
		}
	}
}
