package platform

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"
)

// VM is an entry of the VM list.
type VM struct {
	VM      string `json:"vm"`
	Leaving bool   `json:"leaving,omitempty"`
}

// Platform serves an emulated VM list; its zero value is empty and has no lag.
type Platform struct {
	Lag time.Duration // age of the list that readers get

	mu      sync.Mutex
	history []snapshot
}

type snapshot struct {
	at  time.Time
	vms []VM
}

type listWire struct {
	VMs []VM `json:"vms"`
}

// maxHistory bounds the snapshots kept to serve lagging lists.
const maxHistory = 1024

// Handler returns a handler that serves the list at /platform/vms and replaces it at /emulate/vms.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /platform/vms", p.list)
	mux.HandleFunc("POST /emulate/vms", p.replace)
	return mux
}

// SetVMs replaces the list; readers see the new list after the lag.
func (p *Platform) SetVMs(vms []VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.history = append(p.history, snapshot{time.Now(), slices.Clone(vms)})
	if len(p.history) > maxHistory {
		p.history = p.history[1:]
	}
}

func (p *Platform) list(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := listWire{VMs: []VM{}}
	at := time.Now().Add(-p.Lag)
	for i, c := range p.history {
		if i > 0 && c.at.After(at) {
			break
		}
		out.VMs = c.vms
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

func (p *Platform) replace(w http.ResponseWriter, r *http.Request) {
	var l listWire
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<20)).Decode(&l); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetVMs(l.VMs)
}
