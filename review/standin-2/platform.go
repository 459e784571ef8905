package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// A platform serves the list of engines.
type platform struct {
	addr    string
	engines []*engine
	server  *http.Server
	group   sync.WaitGroup
}

func newPlatform(addr string, engines []*engine) (*platform, error) {
	l, err := listen(addr)
	if err != nil {
		return nil, err
	}
	p := &platform{addr: addr, engines: engines}
	p.server = &http.Server{Handler: p, ReadHeaderTimeout: 5 * time.Second}
	p.group.Go(func() { _ = p.server.Serve(l) }) // returns after close
	return p, nil
}

// ServeHTTP implements http.Handler.
func (p *platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/instances" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	list := []any{}
	for _, e := range p.engines {
		list = append(list, e.listEntry())
	}
	data, err := json.Marshal(map[string]any{"instances": list, "next": nil})
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data) // the caller asks again
}

func (p *platform) close() {
	_ = p.server.Close()
	p.group.Wait()
}
