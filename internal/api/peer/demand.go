package peer

import (
	"encoding/json"
	"net/http"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// DemandPath is the URL path to which entry VMs send their demand.
const DemandPath = "/peer/demand"

// maxDemandBytes is far above the size to which senders limit their messages.
const maxDemandBytes = 64 << 10

type demandMessage struct {
	VM     string      `json:"vm"`
	Models []demandRow `json:"models"`
}

type demandRow struct {
	Model    string `json:"model"`
	Requests int    `json:"requests,omitempty"`
	Tokens   int    `json:"tokens,omitempty"`
}

// DemandHandler returns the handler of POST /peer/demand, which adds demand to the sink. A VM that is not the placement leader
// responds with status 409.
func DemandHandler(sink deck.DemandSink, isLeader func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !isLeader() {
			http.Error(w, "not the placement leader", http.StatusConflict)
			return
		}
		var m demandMessage
		dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxDemandBytes))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&m); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		demand := deck.DemandReport{VM: deck.VMName(m.VM)}
		for _, row := range m.Models {
			if row.Requests < 0 || row.Tokens < 0 {
				http.Error(w, "negative count of "+row.Model, http.StatusBadRequest)
				return
			}
			demand.Counts = append(demand.Counts, deck.ModelDemand{
				Model: deck.ModelName(row.Model), Requests: row.Requests, Tokens: row.Tokens,
			})
		}
		sink.AddDemand(demand)
		w.WriteHeader(http.StatusNoContent)
	})
}
