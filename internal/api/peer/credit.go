package peer

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	creditPath     = "/peer/credit"
	maxCreditBytes = 64 << 10
	maxCreditNeeds = 256 // in one request

	// creditSearchTimeout covers the round trips of a new connection between regions. A search is repeated soon, so that it doesn't wait
	// for VMs that hang.
	creditSearchTimeout = 200 * time.Millisecond
)

type creditRequestJSON struct {
	VM      string           `json:"vm"`
	Process uint64           `json:"process"`
	Serial  uint64           `json:"serial"`
	Heard   uint64           `json:"heard,omitempty"`
	Needs   []creditNeedJSON `json:"needs"`
}

type creditNeedJSON struct {
	Customer string  `json:"customer"`
	Calls    float64 `json:"calls,omitempty"`
	Least    float64 `json:"least,omitempty"`
	Ahead    float64 `json:"ahead,omitempty"`
	Returned float64 `json:"returned,omitempty"`
	Held     float64 `json:"held,omitempty"`
	Share    float64 `json:"share,omitempty"`
	Wanted   float64 `json:"wanted,omitempty"`
}

type creditGrantJSON struct {
	Calls     float64 `json:"calls,omitempty"`
	Ahead     float64 `json:"ahead,omitempty"`
	Share     float64 `json:"share,omitempty"`
	ShareRate float64 `json:"share-rate,omitempty"`
	WaitUs    int64   `json:"wait-us,omitempty"`
	LeaseUs   int64   `json:"lease-us,omitempty"`
	AheadUs   int64   `json:"ahead-lease-us,omitempty"`
}

// RegisterCredit registers the handler of POST /peer/credit. A VM that grants no credit responds with status 409.
func RegisterCredit(mux *http.ServeMux, source deck.CreditSource) {
	mux.HandleFunc("POST "+creditPath, func(w http.ResponseWriter, r *http.Request) {
		var req creditRequestJSON
		if !readJSON(w, r, &req) {
			return
		}
		if len(req.Needs) > maxCreditNeeds {
			http.Error(w, "too many customers", http.StatusBadRequest)
			return
		}
		a, err := source.TakeCredit(r.Context(), req.toDeck())
		if err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		grants := make([]creditGrantJSON, 0, len(a.Grants))
		for _, g := range a.Grants {
			grants = append(grants, creditGrantJSON{
				Calls: g.Calls, Ahead: g.Ahead, Share: g.Share, ShareRate: g.ShareRate,
				WaitUs: g.Wait.Microseconds(), LeaseUs: g.Lease.Microseconds(), AheadUs: g.AheadLease.Microseconds(),
			})
		}
		writeJSON(w, mustMarshal(grants))
	})
}

func (r creditRequestJSON) toDeck() deck.CreditRequest {
	out := deck.CreditRequest{VM: deck.VMName(r.VM), Process: r.Process, Serial: r.Serial, Heard: r.Heard}
	for _, n := range r.Needs {
		out.Needs = append(out.Needs, deck.CreditNeed{
			Customer: deck.CustomerName(n.Customer), Calls: max(0, n.Calls), Least: max(0, n.Least), Ahead: max(0, n.Ahead),
			Returned: max(0, n.Returned), Held: max(0, n.Held), Share: max(0, n.Share), Wanted: max(0, n.Wanted),
		})
	}
	return out
}

func creditRequestFromDeck(r deck.CreditRequest) creditRequestJSON {
	out := creditRequestJSON{VM: string(r.VM), Process: r.Process, Serial: r.Serial, Heard: r.Heard}
	for _, n := range r.Needs {
		out.Needs = append(out.Needs, creditNeedJSON{
			Customer: string(n.Customer), Calls: n.Calls, Least: n.Least, Ahead: n.Ahead, Returned: n.Returned, Held: n.Held,
			Share: n.Share, Wanted: n.Wanted,
		})
	}
	return out
}

// A CreditClient asks the VM that granted credit last, and all control VMs at once while it is unknown which of them grants credit. It
// finds a new leader before it has been announced.
type CreditClient struct {
	HTTP  *http.Client
	Peers func() []deck.VMName // control VMs

	mu      sync.Mutex
	grantor deck.VMName // that granted credit last; empty if it doesn't any more
}

var _ deck.CreditSource = (*CreditClient)(nil)

// TakeCredit implements deck.CreditSource.TakeCredit.
func (c *CreditClient) TakeCredit(ctx context.Context, r deck.CreditRequest) (deck.CreditAnswer, error) {
	c.mu.Lock()
	targets := []deck.VMName{c.grantor}
	c.mu.Unlock()
	if targets[0] == "" {
		targets = c.Peers()
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, creditSearchTimeout)
		defer cancel()
	}
	answer, from, err := c.askAny(ctx, targets, mustMarshal(creditRequestFromDeck(r)))
	c.mu.Lock()
	c.grantor = from
	c.mu.Unlock()
	return answer, err
}

// askAny sends a request to all targets and returns the first answer that grants credit.
func (c *CreditClient) askAny(ctx context.Context, targets []deck.VMName, body []byte) (deck.CreditAnswer, deck.VMName, error) {
	type result struct {
		answer deck.CreditAnswer
		from   deck.VMName
		err    error
	}
	ctx, cancel := context.WithCancel(ctx)
	results := make(chan result, len(targets))
	var asking sync.WaitGroup
	defer asking.Wait()
	defer cancel()
	for _, vm := range targets {
		asking.Go(func() {
			a, err := takeCredit(ctx, c.HTTP, string(vm), body)
			results <- result{a, vm, err}
		})
	}
	err := errors.New("no control VM is known")
	for range targets {
		r := <-results
		if r.err == nil {
			return r.answer, r.from, nil
		}
		err = r.err
	}
	return deck.CreditAnswer{}, "", err
}

// takeCredit asks the VM at the address for credit.
func takeCredit(ctx context.Context, client *http.Client, address string, body []byte) (deck.CreditAnswer, error) {
	data, err := exchange(ctx, client, http.MethodPost, "http://"+address+creditPath, body, http.StatusOK, maxCreditBytes)
	if err != nil {
		return deck.CreditAnswer{}, err
	}
	var grants []creditGrantJSON
	if err := json.Unmarshal(data, &grants); err != nil {
		return deck.CreditAnswer{}, errors.Wrap(err, "credit")
	}
	var a deck.CreditAnswer
	for _, g := range grants {
		a.Grants = append(a.Grants, deck.CreditGrant{
			Calls: max(0, g.Calls), Ahead: max(0, g.Ahead), Share: max(0, g.Share), ShareRate: max(0, g.ShareRate),
			Wait: microseconds(g.WaitUs), Lease: microseconds(g.LeaseUs), AheadLease: microseconds(g.AheadUs),
		})
	}
	return a, nil
}

func microseconds(n int64) time.Duration {
	return max(0, time.Duration(n)*time.Microsecond)
}
