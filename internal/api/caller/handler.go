package caller

import (
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/route/attempt"
	wire "github.com/geraniumdeck/geraniumdeck/internal/wire/engine"
)

// defaultMaxStreams bounds the requests in progress unless Handler.MaxStreams says otherwise.
const defaultMaxStreams = 4096

// A Handler serves the callers' listener. Its fields are set before the first request.
type Handler struct {
	Router      deck.Router
	Engine      func(deck.BackendServer) deck.Engine
	State       deck.StateSource
	Residency   deck.Residency // which versions the engines hold; nil if all hold the active one
	Services    deck.ServiceClient
	Idempotency deck.IdempotencyStore
	Poison      deck.PoisonStore
	Clock       deck.Clock
	VM          deck.VMName
	DataCentre  deck.DataCentre             // whose service instances are called first
	Leaving     func(deck.BackendName) bool // instances known to be leaving besides the state in force; may be nil
	MaxStreams  int                         // requests in progress; 0 for the default
	MaxBody     int64                       // bytes of a request's body; 0 for the default
	Served      deck.ServedRecorder         // takes the summaries of finished requests; may be nil

	once     sync.Once
	mux      *http.ServeMux
	runner   *attempt.Runner
	inFlight inFlightRequests
	rotation atomic.Uint64 // rotates the service instances
}

var _ http.Handler = (*Handler)(nil)

// ServeHTTP implements http.Handler.ServeHTTP.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.once.Do(h.init)
	h.mux.ServeHTTP(w, r)
}

func (h *Handler) init() {
	h.runner = attempt.NewRunner(h.Router, h.Engine, h.Poison, h.Clock, h.VM)
	h.inFlight.limit = h.MaxStreams
	if h.inFlight.limit == 0 {
		h.inFlight.limit = defaultMaxStreams
	}
	h.mux = http.NewServeMux()
	h.mux.HandleFunc("GET /v1/models", h.serveModels)
	h.mux.HandleFunc("POST "+wire.PathChatCompletions, h.countInFlight(h.serveInference))
	h.mux.HandleFunc("POST "+wire.PathCompletions, h.countInFlight(h.serveInference))
	h.mux.HandleFunc("/", h.countInFlight(h.serveCall))
}

// countInFlight counts a request as in progress while f runs, unless the handler drains or is full.
func (h *Handler) countInFlight(f http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if problem := h.inFlight.acquire(); problem != nil {
			problem.write(w)
			return
		}
		defer h.inFlight.release()
		f(w, r)
	}
}
