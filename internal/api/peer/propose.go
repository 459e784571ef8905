package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/state/statemachine"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/command"
)

// Paths of requests for commands and tickets.
const (
	proposePath = "/peer/propose"
	ticketPath  = "/peer/tickets"
)

// Limits of requests for commands and tickets.
const (
	proposeTimeout = 2 * time.Second
	maxResultBytes = 256 << 10 // a recorded answer has a body of up to 64 KB, which base64 enlarges by a third
	maxErrorBytes  = 4 << 10
	leaderHeader   = "Geraniumdeck-Leader"
)

// A TicketReader reads the status of tickets. On a VM that does not lead it returns a statemachine.NotLeaderError.
type TicketReader interface {
	// TicketStatus returns the current status of the ticket with the given number.
	TicketStatus(ctx context.Context, number uint64) (statemachine.TicketStatus, error)
}

// RegisterPropose registers the handler of POST /peer/propose, which proposes commands.
func RegisterPropose(mux *http.ServeMux, p statemachine.Proposer) {
	mux.HandleFunc("POST "+proposePath, func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, command.MaxBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), proposeTimeout)
		defer cancel()
		result, err := p.Propose(ctx, data)
		if err != nil {
			writeProposeError(w, err)
			return
		}
		writeJSON(w, result)
	})
}

// RegisterTicketStatus registers the handler of GET /peer/tickets/{number}, which returns the status of a ticket.
func RegisterTicketStatus(mux *http.ServeMux, tickets TicketReader) {
	mux.HandleFunc("GET "+ticketPath+"/{number}", func(w http.ResponseWriter, r *http.Request) {
		number, err := strconv.ParseUint(r.PathValue("number"), 10, 64)
		if err != nil {
			http.Error(w, "not a ticket number", http.StatusBadRequest)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), proposeTimeout)
		defer cancel()
		s, err := tickets.TicketStatus(ctx, number)
		if err != nil {
			writeProposeError(w, err)
			return
		}
		writeJSON(w, mustMarshal(newTicketStatus(s)))
	})
}

// writeProposeError responds with status 421 if another VM leads, 400 if the command was not proposed, and 504 if it may
// have been.
func writeProposeError(w http.ResponseWriter, err error) {
	var notLeader *statemachine.NotLeaderError
	var notProposed *statemachine.NotProposedError
	switch {
	case errors.As(err, &notLeader):
		w.Header().Set(leaderHeader, string(notLeader.Leader))
		http.Error(w, err.Error(), http.StatusMisdirectedRequest)
	case errors.As(err, &notProposed):
		http.Error(w, err.Error(), http.StatusBadRequest)
	default:
		http.Error(w, err.Error(), http.StatusGatewayTimeout)
	}
}

// A ProposeClient implements statemachine.Forwarder over HTTP.
type ProposeClient struct {
	HTTP *http.Client
}

var _ statemachine.Forwarder = ProposeClient{}

// Forward implements statemachine.Forwarder.Forward.
func (c ProposeClient) Forward(ctx context.Context, to deck.Peer, data []byte) ([]byte, error) {
	url := "http://" + to.Address + proposePath
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return nil, &statemachine.NotProposedError{Cause: err}
	}
	return c.do(r)
}

// TicketStatus implements statemachine.Forwarder.TicketStatus.
func (c ProposeClient) TicketStatus(ctx context.Context, to deck.Peer, number uint64) (statemachine.TicketStatus, error) {
	url := fmt.Sprintf("http://%s%s/%d", to.Address, ticketPath, number)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return statemachine.TicketStatus{}, err
	}
	data, err := c.do(r)
	if err != nil {
		return statemachine.TicketStatus{}, err
	}
	var s ticketStatus
	if err := json.Unmarshal(data, &s); err != nil {
		return statemachine.TicketStatus{}, errors.Wrap(err, "ticket status")
	}
	return s.status()
}

func (c ProposeClient) do(r *http.Request) ([]byte, error) {
	resp, err := c.HTTP.Do(r)
	if err != nil {
		return nil, classifySendError(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, statusError(resp)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResultBytes))
	return data, errors.Wrap(err, "result")
}

// classifySendError returns a NotProposedError if no connection was established, which proves that nothing was proposed, and
// otherwise the error itself.
func classifySendError(err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return &statemachine.NotProposedError{Cause: err}
	}
	return err
}

func statusError(resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	err := errors.Newf("status %d: %s", resp.StatusCode, bytes.TrimSpace(text))
	switch resp.StatusCode {
	case http.StatusMisdirectedRequest:
		return &statemachine.NotLeaderError{Leader: deck.VMName(resp.Header.Get(leaderHeader))}
	case http.StatusBadRequest:
		return &statemachine.NotProposedError{Cause: err}
	default:
		return err
	}
}

func writeJSON(w http.ResponseWriter, data []byte) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data) // on an error the client receives an incomplete response
}

// mustMarshal encodes a wire type as JSON. Wire types hold no value that JSON can't represent.
func mustMarshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
