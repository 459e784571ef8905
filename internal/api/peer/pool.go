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

// Pools are the leased halves of the weight store's and the adapter loads' limits, which the control leader hosts.
type Pools struct {
	Clock    deck.Clock
	Loads    int         // limit of model loads over all data centres
	Adapters int         // limit of adapter loads over all engines
	Leads    func() bool // whether this VM leads the replicated log

	mu        sync.Mutex
	wasLeader bool
	loads     *execute.Pool
	adapters  *execute.Pool
}

// Register serves POST /peer/pool; a VM that does not lead the log answers 409.
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

// grant leases from the pools. A VM that has just begun to lead starts with new pools, which grant nothing for one
// lease, because the leases of the leader before are unknown.
func (p *Pools) grant(m poolMessage) (poolMessage, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	if !p.Leads() {
		p.wasLeader = false
		return poolMessage{}, false
	}
	if !p.wasLeader {
		p.wasLeader = true
		p.loads, p.adapters = execute.NewPool(p.Loads, now), execute.NewPool(p.Adapters, now)
	}
	dc := deck.DataCentre(m.DataCentre)
	return poolMessage{Loads: p.loads.Grant(dc, m.Loads, now), Adapters: p.adapters.Grant(dc, m.Adapters, now)}, true
}

// A PoolClient leases parts of the pools from the control leader.
type PoolClient struct {
	HTTP *http.Client
}

// Lease asks the VM at the address for loads and returns what was granted.
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

// PoolInterval is the time between two leases, so that one lost request does not end a lease.
const PoolInterval = execute.PoolLeaseDuration * 2 / 5
