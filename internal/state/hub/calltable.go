package hub

import "github.com/geraniumdeck/geraniumdeck/internal/core/deck"

// A callTable sums the calls in flight at each backend server over the last reports of all entry VMs, in all and by data centre. The zero
// value has none.
type callTable struct {
	all          map[deck.BackendName]int
	byDataCentre map[deck.DataCentre]map[deck.BackendName]int
}

// add adds the calls of a VM's report.
func (t *callTable) add(r vmReport) {
	if t.all == nil {
		t.all = make(map[deck.BackendName]int)
		t.byDataCentre = make(map[deck.DataCentre]map[deck.BackendName]int)
	}
	if t.byDataCentre[r.dataCentre] == nil {
		t.byDataCentre[r.dataCentre] = make(map[deck.BackendName]int)
	}
	for _, c := range r.calls {
		t.all[c.Server] += c.Calls
		t.byDataCentre[r.dataCentre][c.Server] += c.Calls
	}
}

// remove takes the calls of a VM's report off again.
func (t *callTable) remove(r vmReport) {
	near := t.byDataCentre[r.dataCentre]
	for _, c := range r.calls {
		subtract(t.all, c)
		subtract(near, c)
	}
	if len(near) == 0 {
		delete(t.byDataCentre, r.dataCentre)
	}
}

func subtract(calls map[deck.BackendName]int, c deck.ServerCalls) {
	calls[c.Server] -= c.Calls
	if calls[c.Server] <= 0 {
		delete(calls, c.Server)
	}
}

// total returns the calls in flight at a server.
func (t *callTable) total(id deck.BackendName) int {
	return t.all[id]
}

// view returns the calls in flight at each server for a VM of the given data centre.
func (t *callTable) view(dc deck.DataCentre) []deck.ServerCalls {
	out := make([]deck.ServerCalls, 0, len(t.all))
	for id, n := range t.all {
		out = append(out, deck.ServerCalls{Server: id, Calls: n, Near: t.byDataCentre[dc][id]})
	}
	return out
}
