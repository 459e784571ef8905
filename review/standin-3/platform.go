package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	listLag     = 800 * time.Millisecond // maxLagMs
	crashedTime = 2 * time.Second        // for which a crashed engine is still listed
)

// A listing is one start of an engine as the platform's list shows it.
type listing struct {
	id, service, address, zone, version string
	slots                               int
	born                                time.Time
	from                                time.Time // when the list begins to show it
	until                               time.Time // when the list ceases to show it; zero if the engine runs

	models []string // that it holds, as the list shows them
}

// A platform serves the list of backend servers.
type platform struct {
	server *http.Server
	group  sync.WaitGroup

	mu       sync.Mutex
	listings []*listing
}

func newPlatform(address string) (*platform, error) {
	l, err := net.Listen("tcp", address) //nolint:noctx // at the start of the process
	if err != nil {
		return nil, err
	}
	p := &platform{}
	p.server = &http.Server{Handler: p, ReadHeaderTimeout: 5 * time.Second}
	p.group.Go(func() { _ = p.server.Serve(l) }) // returns after Close
	return p, nil
}

func (p *platform) add(l *listing) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, other := range p.listings {
		if other.id == l.id {
			other.until = l.from
		}
	}
	p.listings = append(p.listings, l)
}

// setModels makes the list show, after its lag, which models the engine holds.
func (p *platform) setModels(l *listing, names []string) {
	time.AfterFunc(listLag, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		l.models = names
	})
}

// end says that the engine has crashed now. An engine that keeps its ID is listed as it was until the list shows its next start.
func (p *platform) end(l *listing, keepsID bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !keepsID {
		l.until = time.Now().Add(crashedTime)
	}
}

// ServeHTTP implements http.Handler.
func (p *platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/instances" {
		http.NotFound(w, r)
		return
	}
	zone, now := r.URL.Query().Get("zone"), time.Now()
	instances := []map[string]any{}
	p.mu.Lock()
	for _, l := range p.listings {
		if now.Before(l.from) || !l.until.IsZero() && now.After(l.until) || zone != "" && zone != l.zone {
			continue
		}
		instances = append(instances, map[string]any{
			"id": l.id, "service": l.service, "address": l.address, "zone": l.zone, "version": l.version, "slots": l.slots, "state": "ready",
			"coldLeftMs": 0, "stage": "unified", "models": heldModels(l.models), "born": l.born.UnixMilli(),
		})
	}
	p.mu.Unlock()
	data, err := json.Marshal(map[string]any{"instances": instances, "next": nil})
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data) // the client reads the list again
}
