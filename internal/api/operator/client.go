package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/report/burn"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/httpresponse"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/ticket"
)

// maxResponseBytes limits how much of a response body the client reads.
const maxResponseBytes = 64 << 20

// A Client sends requests to the operators' listener of one VM.
type Client struct {
	Address string       // IP:port
	HTTP    *http.Client // nil for a client that all Clients share
}

var defaultClient = &http.Client{Transport: &httpresponse.Transport{Base: http.Transport{Proxy: http.ProxyFromEnvironment}}}

// A StatusError is an error response of a VM.
type StatusError struct {
	Address string // of the VM's operators' listener
	Code    int    // HTTP status
	Text    string
}

// Error implements error.Error.
func (e *StatusError) Error() string {
	return e.Address + ": " + e.Text
}

// ApplyTicket submits a ticket; after an error the ticket may or may not have been applied.
func (c Client) ApplyTicket(ctx context.Context, t deck.Ticket) (deck.TicketAnswer, error) {
	var w ticketAnswerWire
	if err := c.do(ctx, http.MethodPost, "/operator/tickets", ticket.EncodeJSON(t), &w); err != nil {
		return deck.TicketAnswer{}, err
	}
	return w.answer()
}

// BurnReport returns the VM's burn report.
func (c Client) BurnReport(ctx context.Context) (burn.Report, error) {
	var w burnWire
	if err := c.do(ctx, http.MethodGet, "/operator/burn", nil, &w); err != nil {
		return burn.Report{}, err
	}
	return w.report()
}

// ChangeReplica adds, promotes or removes a replica of the replicated log.
func (c Client) ChangeReplica(ctx context.Context, ch deck.ReplicaChange) error {
	body, err := json.Marshal(replicaChangeWire{Action: actionNames[ch.Action], Replica: newReplica(ch.Replica)})
	if err != nil {
		return errors.Wrap(err, "encode replica change")
	}
	return c.do(ctx, http.MethodPost, "/operator/replicas", body, &struct{}{})
}

// StateJSON returns the VM's overview as JSON.
func (c Client) StateJSON(ctx context.Context) ([]byte, error) {
	var raw json.RawMessage
	err := c.do(ctx, http.MethodGet, "/operator/state", nil, &raw)
	return raw, err
}

// TicketStatus returns the answer to a ticket and the VMs on which it is in force.
func (c Client) TicketStatus(ctx context.Context, number uint64) (deck.TicketStatus, error) {
	var w ticketStatusWire
	if err := c.do(ctx, http.MethodGet, fmt.Sprintf("/operator/tickets/%d", number), nil, &w); err != nil {
		return deck.TicketStatus{}, err
	}
	return w.status()
}

func (c Client) do(ctx context.Context, method, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, c.Address)
	}
	hc := c.HTTP
	if hc == nil {
		hc = defaultClient
	}
	resp, err := hc.Do(req)
	if err != nil {
		return errors.Wrap(err, c.Address)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrap(err, c.Address)
	}
	return c.decodeResponse(resp.StatusCode, data, out)
}

// decodeResponse decodes a response body into out. The answer to a refused ticket is a result, although its status code is
// that of an error.
func (c Client) decodeResponse(code int, data []byte, out any) error {
	failed := code >= http.StatusBadRequest
	var e errorWire
	if failed && json.Unmarshal(data, &e) == nil && e.Error != "" {
		return &StatusError{Address: c.Address, Code: code, Text: e.Error}
	}
	err := json.Unmarshal(data, out)
	if failed && err != nil {
		return &StatusError{Address: c.Address, Code: code, Text: fmt.Sprintf("status %d", code)}
	}
	return errors.Wrap(err, c.Address)
}
