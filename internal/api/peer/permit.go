package peer

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	permitPath     = "/peer/permit"
	maxPermitBytes = 4 << 10
)

type permitRequestJSON struct {
	VM          string  `json:"vm"`
	Server      string  `json:"server"`
	Incarnation string  `json:"incarnation,omitempty"`
	Limit       float64 `json:"limit"`
	AgeMs       int64   `json:"age-ms"`
	Ended       bool    `json:"ended,omitempty"`
}

type permitAnswerJSON struct {
	Granted bool  `json:"granted,omitempty"`
	WaitUs  int64 `json:"wait-us,omitempty"`
	Ended   bool  `json:"ended,omitempty"`
}

// RegisterPermits registers the handler of POST /peer/permit. A VM that grants no permits responds with status 409.
func RegisterPermits(mux *http.ServeMux, permits deck.PermitSource) {
	mux.HandleFunc("POST "+permitPath, func(w http.ResponseWriter, r *http.Request) {
		var req permitRequestJSON
		if !readJSON(w, r, &req) {
			return
		}
		a, err := permits.TakePermit(r.Context(), deck.PermitRequest{
			VM: deck.VMName(req.VM), Server: deck.BackendName(req.Server), Incarnation: req.Incarnation,
			Limit: max(0, req.Limit), Age: max(0, time.Duration(req.AgeMs)*time.Millisecond),
			Ended: req.Ended,
		})
		if err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		writeJSON(w, mustMarshal(permitAnswerJSON{Granted: a.Granted, WaitUs: a.Wait.Microseconds(), Ended: a.Ended}))
	})
}

// TakePermit asks the VM at the address for a permit.
func TakePermit(ctx context.Context, client *http.Client, address string, r deck.PermitRequest) (deck.PermitAnswer, error) {
	body := mustMarshal(permitRequestJSON{
		VM: string(r.VM), Server: string(r.Server), Incarnation: r.Incarnation, Limit: r.Limit, AgeMs: r.Age.Milliseconds(),
		Ended: r.Ended,
	})
	data, err := exchange(ctx, client, http.MethodPost, "http://"+address+permitPath, body, http.StatusOK, maxPermitBytes)
	if err != nil {
		return deck.PermitAnswer{}, err
	}
	var a permitAnswerJSON
	if err := json.Unmarshal(data, &a); err != nil {
		return deck.PermitAnswer{}, errors.Wrap(err, "permit")
	}
	return deck.PermitAnswer{Granted: a.Granted, Wait: max(0, time.Duration(a.WaitUs)*time.Microsecond), Ended: a.Ended}, nil
}

var _ deck.PermitSource = ControlClient{}

// TakePermit implements deck.PermitSource.TakePermit.
func (c ControlClient) TakePermit(ctx context.Context, r deck.PermitRequest) (deck.PermitAnswer, error) {
	leader, ok := c.Leader()
	if !ok {
		return deck.PermitAnswer{}, errors.New("no control leader is known")
	}
	return TakePermit(ctx, c.HTTP, string(leader), r)
}
