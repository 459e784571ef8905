package peer

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/state/lease"
)

// Paths and limits of lease requests and handovers.
const (
	leasePath        = "/peer/lease"
	handoverPath     = "/peer/lease/handover"
	maxLeaseBytes    = 4 << 10
	maxHandoverBytes = 16 << 20 // the ledger of 600 engines with a few operations each is about 1 MB
)

type leaseRequest struct {
	DataCentre string `json:"data-centre"`
	VM         string `json:"vm"`
	Instance   string `json:"instance"`
	Attempt    uint64 `json:"attempt"`
	Action     string `json:"action"`
	Round      uint64 `json:"round"`
	Token      uint64 `json:"token,omitempty"`
	Successor  string `json:"successor,omitempty"`
	WallMS     int64  `json:"wall-ms"`
}

type leaseResponse struct {
	Granted     bool   `json:"granted"`
	Token       uint64 `json:"token,omitempty"`
	Previous    uint64 `json:"previous,omitempty"`
	Holder      string `json:"holder,omitempty"`
	RemainingMS int64  `json:"remaining-ms,omitempty"`
	WallMS      int64  `json:"wall-ms"`
}

type leaseHandover struct {
	DataCentre string `json:"data-centre"`
	From       string `json:"from"`
	Token      uint64 `json:"token"`
	Ledger     []byte `json:"ledger,omitempty"`
}

var leaseActions = map[lease.Action]string{
	lease.ActAcquire: "acquire",
	lease.ActConfirm: "confirm",
	lease.ActRelease: "release",
}

// RegisterLease registers the handlers of POST /peer/lease and POST /peer/lease/handover.
func RegisterLease(mux *http.ServeMux, voters *lease.LocalVoters, elector *lease.Elector) {
	mux.HandleFunc("POST "+leasePath, func(w http.ResponseWriter, r *http.Request) {
		var m leaseRequest
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxLeaseBytes)).Decode(&m); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		request, err := m.request()
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeJSON(w, mustMarshal(newLeaseResponse(voters.Handle(request))))
	})
	mux.HandleFunc("POST "+handoverPath, func(w http.ResponseWriter, r *http.Request) {
		var m leaseHandover
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxHandoverBytes)).Decode(&m); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		elector.ReceiveHandover(lease.Handover{
			DataCentre: deck.DataCentre(m.DataCentre), From: deck.VMName(m.From), Token: m.Token, Ledger: m.Ledger,
		})
		writeJSON(w, []byte("{}"))
	})
}

func (m leaseRequest) request() (lease.Request, error) {
	for action, name := range leaseActions {
		if name == m.Action {
			return lease.Request{
				DataCentre: deck.DataCentre(m.DataCentre), Action: action, Round: m.Round, Token: m.Token,
				Claimant:  lease.Claimant{VM: deck.VMName(m.VM), Instance: m.Instance, Attempt: m.Attempt},
				Successor: deck.VMName(m.Successor), Wall: time.UnixMilli(m.WallMS),
			}, nil
		}
	}
	return lease.Request{}, errors.Newf("action %q", m.Action)
}

func newLeaseRequest(r lease.Request) leaseRequest {
	return leaseRequest{
		DataCentre: string(r.DataCentre), VM: string(r.Claimant.VM), Instance: r.Claimant.Instance,
		Attempt: r.Claimant.Attempt, Action: leaseActions[r.Action], Round: r.Round, Token: r.Token,
		Successor: string(r.Successor), WallMS: r.Wall.UnixMilli(),
	}
}

func newLeaseResponse(r lease.Response) leaseResponse {
	return leaseResponse{
		Granted: r.Granted, Token: r.Token, Previous: r.Previous, Holder: string(r.Holder),
		RemainingMS: r.Remaining.Milliseconds(), WallMS: r.Wall.UnixMilli(),
	}
}

func (m leaseResponse) response() lease.Response {
	return lease.Response{
		Granted: m.Granted, Token: m.Token, Previous: m.Previous, Holder: deck.VMName(m.Holder),
		Remaining: time.Duration(m.RemainingMS) * time.Millisecond, Wall: time.UnixMilli(m.WallMS),
	}
}

// A LeaseClient implements lease.Transport over HTTP.
type LeaseClient struct {
	HTTP *http.Client
}

var _ lease.Transport = LeaseClient{}

// SendRequest implements lease.Transport.SendRequest.
func (c LeaseClient) SendRequest(ctx context.Context, voter deck.Peer, r lease.Request) (lease.Response, error) {
	data, err := c.post(ctx, "http://"+voter.Address+leasePath, newLeaseRequest(r))
	if err != nil {
		return lease.Response{}, err
	}
	var m leaseResponse
	err = json.Unmarshal(data, &m)
	return m.response(), errors.Wrap(err, "decode lease response")
}

// HandOver implements lease.Transport.HandOver.
func (c LeaseClient) HandOver(ctx context.Context, to deck.Peer, h lease.Handover) error {
	m := leaseHandover{DataCentre: string(h.DataCentre), From: string(h.From), Token: h.Token, Ledger: h.Ledger}
	_, err := c.post(ctx, "http://"+to.Address+handoverPath, m)
	return err
}

func (c LeaseClient) post(ctx context.Context, url string, body any) ([]byte, error) {
	return exchange(ctx, c.HTTP, http.MethodPost, url, mustMarshal(body), http.StatusOK, maxLeaseBytes)
}
