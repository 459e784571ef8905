package peer

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/place/execute"
)

const (
	poolPath     = "/peer/pool"
	maxPoolBytes = 4 << 10
)

type poolMessage struct {
	DataCentre string `json:"data-centre,omitempty"`
	Loads      int    `json:"loads"`
	Adapters   int    `json:"adapters"`
}

// Pools holds the halves of the limits on model loads and adapter loads that the control leader leases to data centres. The
// data centres own the other halves.
type Pools struct {
	Clock            deck.Clock
	LoadLimit        int         // limit on model loads of all data centres
	AdapterLoadLimit int         // limit on adapter loads of all engines
	IsLeader         func() bool // whether this VM leads the replicated log

	mu        sync.Mutex
	wasLeader bool
	loads     *execute.Pool
	adapters  *execute.Pool
}

// Register registers the handler of POST /peer/pool. A VM that does not lead the replicated log responds with status 409.
func (p *Pools) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST "+poolPath, p.serve)
}

func (p *Pools) serve(w http.ResponseWriter, r *http.Request) {
	var m poolMessage
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxPoolBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	granted, ok := p.grant(m)
	if !ok {
		http.Error(w, "not the leader of the replicated log", http.StatusConflict)
		return
	}
	_ = json.NewEncoder(w).Encode(granted)
}

// grant leases from the pools and reports whether this VM leads. A new leader starts with new pools, which grant nothing
// for the duration of one lease because the previous leader's leases are unknown.
func (p *Pools) grant(m poolMessage) (poolMessage, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	if !p.IsLeader() {
		p.wasLeader = false
		return poolMessage{}, false
	}
	if !p.wasLeader {
		p.wasLeader = true
		p.loads, p.adapters = execute.NewPool(p.LoadLimit, now), execute.NewPool(p.AdapterLoadLimit, now)
	}
	dc := deck.DataCentre(m.DataCentre)
	return poolMessage{Loads: p.loads.Grant(dc, m.Loads, now), Adapters: p.adapters.Grant(dc, m.Adapters, now)}, true
}

// A PoolClient leases loads from the control leader's pools.
type PoolClient struct {
	HTTP *http.Client
}

// Lease requests model loads and adapter loads from the VM at the address, and returns the granted numbers of each.
func (c PoolClient) Lease(ctx context.Context, address string, dc deck.DataCentre, loads, adapters int) (int, int, error) {
	body, err := json.Marshal(poolMessage{DataCentre: string(dc), Loads: loads, Adapters: adapters})
	if err != nil {
		return 0, 0, errors.Wrap(err, "pool")
	}
	data, err := exchange(ctx, c.HTTP, http.MethodPost, "http://"+address+poolPath, body, http.StatusOK, maxPoolBytes)
	if err != nil {
		return 0, 0, err
	}
	var m poolMessage
	err = json.Unmarshal(data, &m)
	return max(m.Loads, 0), max(m.Adapters, 0), errors.Wrap(err, "pool")
}

// PoolLeaseInterval is the time between two lease requests. It is short enough that one lost request does not end a lease.
const PoolLeaseInterval = execute.PoolLeaseDuration * 2 / 5
