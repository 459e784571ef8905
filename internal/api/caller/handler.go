package caller

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/api/inbound"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/core/kernel"
	"github.com/geraniumdeck/geraniumdeck/internal/core/restraint"
	"github.com/geraniumdeck/geraniumdeck/internal/route/attempt"
	wire "github.com/geraniumdeck/geraniumdeck/internal/wire/engine"
)

// defaultMaxStreams limits the requests in flight if Handler.MaxStreams is 0.
const defaultMaxStreams = 4096

// A Handler serves the callers' listener. Its exported fields must not change after the first request.
type Handler struct {
	Router       deck.Router
	Engine       func(deck.BackendServer) deck.Engine
	State        deck.StateSource
	Residency    deck.Residency // model versions on the engines; nil if every engine has the active one
	Services     deck.ServiceClient
	Idempotency  deck.IdempotencyStore
	Poison       deck.PoisonStore
	Clock        deck.Clock
	VM           deck.VMName
	DataCentre   deck.DataCentre             // its service instances are preferred
	Leaving      func(deck.BackendName) bool // reports instances that are leaving although the state does not say so; may be nil
	MaxStreams   int                         // limit of requests in flight; 0 for the default
	MaxBodyBytes int64                       // limit of a request's body in bytes; 0 for the default
	Memory       *inbound.Budget             // for requests; nil for no bound
	Recorder     deck.RequestRecorder        // receives a summary of each finished request; may be nil
	Restraints   *restraint.Table            // what backend servers say about the requests that they take; nil for an empty one
	Log          logr.Logger
	DrainTimeout time.Duration // after the start of Drain the process ends; 0 for no limit

	once     sync.Once
	mux      *http.ServeMux
	runner   *attempt.Runner
	inFlight inFlightRequests
	ending   kernel.Ending // of the requests in flight
	rotation atomic.Uint64 // round-robin counter of the service instances

	endChecks endChecks
	checks    errgroup.Group // running checks whether a leaving instance has ended
}

var _ http.Handler = (*Handler)(nil)

// ServeHTTP implements http.Handler.ServeHTTP.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.once.Do(h.init)
	h.mux.ServeHTTP(w, r)
}

func (h *Handler) init() {
	if h.Restraints == nil {
		h.Restraints = &restraint.Table{}
	}
	h.runner = attempt.NewRunner(h.Router, h.Engine, h.Poison, h.Clock, h.VM)
	h.runner.Restraints, h.runner.Log = h.Restraints, h.Log
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

// countInFlight wraps f so that a request counts as in flight while f runs, and ends it shortly before the process ends. It refuses the
// request while the handler is draining or at its limit.
func (h *Handler) countInFlight(f http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if problem := h.inFlight.acquire(h.Memory.EndOldestBody); problem != nil {
			problem.write(w)
			return
		}
		defer h.inFlight.release()
		ctx, cancel := context.WithCancelCause(r.Context())
		defer cancel(nil)
		defer h.ending.Notify(func() { cancel(errStopping) })()
		ctx, endRoom := h.Memory.WithRoom(ctx)
		defer endRoom()
		f(w, r.WithContext(ctx))
	}
}
