package operator

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/report/burn"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/ticket"
)

// maxChangeBytes limits the request body of a membership change.
const maxChangeBytes = 64 << 10

// A Readiness is the result of a readiness check: whether the VM should receive callers' requests.
type Readiness struct {
	Ready bool
	Notes []string // state-unproven or draining, for example
}

// A Handler serves the operators' listener.
type Handler struct {
	API        deck.OperatorAPI
	BurnReport func() burn.Report
	Ready      func() Readiness
	Metrics    http.Handler
}

// Mux returns a mux with the routes of the listener.
func (h *Handler) Mux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /operator/tickets", h.applyTicket)
	mux.HandleFunc("GET /operator/tickets/{number}", h.ticketStatus)
	mux.HandleFunc("GET /operator/state", h.overview)
	mux.HandleFunc("POST /operator/replicas", h.changeReplica)
	mux.HandleFunc("GET /operator/burn", h.burnReport)
	mux.HandleFunc("GET /livez", h.live)
	mux.HandleFunc("GET /readyz", h.readiness)
	mux.Handle("GET /metrics", h.Metrics)
	return mux
}

func (h *Handler) applyTicket(w http.ResponseWriter, r *http.Request) {
	data, ok := readBody(w, r, ticket.MaxBytes)
	if !ok {
		return
	}
	t, err := ticket.DecodeJSON(data)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	a, err := h.API.ApplyTicket(r.Context(), t)
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	writeJSON(w, statusCode(a.Verdict), newAnswer(a))
}

// readBody returns the request's body. If the body can't be read or exceeds limit bytes, readBody writes the error response and
// ok is false.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) (data []byte, ok bool) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		writeError(w, http.StatusRequestEntityTooLarge, fmt.Sprintf("body: expected at most %d bytes", limit))
	case err != nil:
		writeError(w, http.StatusBadRequest, "body: "+err.Error())
	}
	return data, err == nil
}

func statusCode(v deck.TicketVerdict) int {
	switch v {
	case deck.TicketAccepted:
		return http.StatusOK
	case deck.TicketRefused:
		return http.StatusUnprocessableEntity
	case deck.TicketConflict, deck.TicketSuperseded:
		return http.StatusConflict
	default:
		return http.StatusServiceUnavailable
	}
}

func (h *Handler) ticketStatus(w http.ResponseWriter, r *http.Request) {
	n, err := strconv.ParseUint(r.PathValue("number"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "ticket number: expected a whole number")
		return
	}
	s, err := h.API.TicketStatus(r.Context(), n)
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, newStatus(s))
}

func (h *Handler) overview(w http.ResponseWriter, r *http.Request) {
	o, err := h.API.Overview(r.Context())
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, newOverview(o))
}

func (h *Handler) changeReplica(w http.ResponseWriter, r *http.Request) {
	data, ok := readBody(w, r, maxChangeBytes)
	if !ok {
		return
	}
	c, err := decodeChange(data)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if err := h.API.ChangeReplica(r.Context(), c); err != nil {
		writeError(w, http.StatusConflict, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

func (h *Handler) burnReport(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, newBurn(h.BurnReport()))
}

func (h *Handler) live(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "ok\n")
}

func (h *Handler) readiness(w http.ResponseWriter, _ *http.Request) {
	r := h.Ready()
	if !r.Ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	if len(r.Notes) == 0 && r.Ready {
		_, _ = io.WriteString(w, "ok\n")
	}
	for _, n := range r.Notes {
		_, _ = io.WriteString(w, n+"\n")
	}
}

func writeError(w http.ResponseWriter, code int, text string) {
	writeJSON(w, code, errorWire{text})
}

func writeJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v)
}
