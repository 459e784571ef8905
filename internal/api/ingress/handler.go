package ingress

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/geraniumdeck/geraniumdeck/internal/api/inbound"
	"github.com/geraniumdeck/geraniumdeck/internal/backend/http1"
	"github.com/geraniumdeck/geraniumdeck/internal/core/allowance"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/core/kernel"
	"github.com/geraniumdeck/geraniumdeck/internal/core/restraint"
	"github.com/geraniumdeck/geraniumdeck/internal/route/balance"
	"github.com/geraniumdeck/geraniumdeck/internal/route/fairshare"
	"github.com/geraniumdeck/geraniumdeck/internal/route/hedge"
	"github.com/geraniumdeck/geraniumdeck/internal/route/table"
)

// Retry delays sent to callers, before jitter.
const (
	unconfiguredRetryAfter = 1 * time.Second        // a starting process receives its configuration within this time
	fullRetryAfter         = 700 * time.Millisecond // a good part of a full batch ends in this time
	noServerRetryAfter     = 1 * time.Second        // the platform's list shows a lost server's replacement after about this time
	loadingRetryAfter      = 2 * time.Second        // if the loading time of the model is unknown
	stoppingRetryAfter     = 50 * time.Millisecond  // other VMs take the call at once
	suspectRetryAfter      = 500 * time.Millisecond // a call without content ends, or all VMs hear of its crash, within this time
)

// defaultBodyBytes bounds request bodies if the configuration sets no limit.
const defaultBodyBytes = 4 << 20

// defaultTimeout applies if neither the caller nor the route sets a timeout.
const defaultTimeout = 60 * time.Second

// A Handler serves callers; all fields but Log, OnCallEnd, OnCrash, OnKeyRefused, Origins, ViewAge, HeardLeader, TrustsKeys and MinStall
// are required.
type Handler struct {
	Codec    deck.CallCodec
	Client   *http1.Client
	Balancer *balance.Balancer
	Budget   *balance.RetryBudget
	Placer   deck.Placer
	Demand   *DemandCounter
	Poison   *PoisonDetector
	Random   deck.Rand

	// Restraints keeps what backend servers say about the requests that they take.
	Restraints *restraint.Table

	// Allowances keeps what runs for customers within their allowances; nil sets no bound.
	Allowances *allowance.Table

	// Hedges decides about second sends of calls whose answers are late; nil allows none.
	Hedges *hedge.Hedger

	// Origins shares where streams began, so that they go on at the same software version; nil keeps it for one answer only.
	Origins deck.StreamOrigins

	// Memory bounds the bytes of bodies and answers; nil for no bound.
	Memory *inbound.Budget

	// MaxCalls bounds the calls in progress, each of which may have a connection to a backend server; 0 for no bound. At the bound,
	// MakeRoom ends one that has to make room for another and reports whether there was one; nil if there never is.
	MaxCalls int
	MakeRoom func() bool

	Log       logr.Logger
	OnCallEnd func(CallRecord) // called at the end of each call; nil for none

	// OnCrash is called when Poison has a crash to report to the leader; nil for none.
	OnCrash func()

	// OnKeyRefused is called for each call that is refused because of its key; nil for none.
	OnKeyRefused func(KeyRefusal)

	// ViewAge returns how long ago the list of backend servers was confirmed; nil if unknown.
	ViewAge func() time.Duration

	// HeardLeader reports whether a leader has answered this process, so that its view is not only that of another VM; nil for always.
	HeardLeader func() bool

	// TrustsKeys reports whether this VM's configuration is recent enough to accept API keys that it holds; nil for always.
	TrustsKeys func() bool

	// MinStall is the shortest pause after which a resumable stream moves to another engine; 0 for two seconds.
	MinStall time.Duration

	routes    atomic.Pointer[table.Table]
	draining  atomic.Bool
	ending    kernel.Ending
	callsEnd  atomic.Pointer[time.Time] // when EndCalls will be called; nil if this VM does not stop
	inFlight  atomic.Int64
	calls     atomic.Int64 // whose requests have arrived as a whole
	refusals  refusalRates
	durations callDurations
	shares    fairshare.Shares
}

// SetRoutes replaces the routing table for requests that arrive from now on.
func (h *Handler) SetRoutes(t *table.Table) {
	h.routes.Store(t)
	names := make(map[string]bool)
	for _, r := range t.Config().Routes {
		names[r.Name] = true
	}
	h.durations.retain(func(route string) bool { return names[route] })
}

// Configured reports whether a routing table has been set.
func (h *Handler) Configured() bool {
	return h.routes.Load() != nil
}

// Drain makes further answers ask callers to close their connections.
func (h *Handler) Drain() {
	h.draining.Store(true)
}

// EndCalls ends the calls in flight: those without an answer yet are answered that they have not run, or that this is unknown.
func (h *Handler) EndCalls() {
	h.ending.End()
}

// EndCallsAt makes EndCalls be called at the given time; stop prevents that. Calls that are not expected to end by then are refused from
// now on.
func (h *Handler) EndCallsAt(t time.Time) (stop func() bool) {
	h.callsEnd.Store(&t)
	return time.AfterFunc(time.Until(t), h.EndCalls).Stop
}

// InFlight returns the number of calls in flight.
func (h *Handler) InFlight() int {
	return int(h.inFlight.Load())
}

// ServeHTTP implements http.Handler.ServeHTTP.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	if h.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	start := time.Now()
	limitAnswer(w, start.Add(defaultTimeout))
	trust := h.configTrust()
	t := h.routes.Load()
	if t == nil {
		h.refuse(w, r, errorResponse{http.StatusServiceUnavailable, unconfiguredRetryAfter, "no routing configuration yet"})
		return
	}
	route, ok := t.Match(r.Host, rawPath(r))
	if !ok {
		h.refuseUnrouted(w, r)
		return
	}
	call, err := h.Codec.ReadCall(r)
	var customer deck.Customer
	if needsKey(t, route) {
		var refusal KeyRefusal
		if customer, refusal = checkKey(trust, t, call.Keys); refusal != "" {
			h.refuseKey(w, r, call, refusal)
			return
		}
	}
	if err != nil {
		h.refuse(w, r, errorResponse{http.StatusBadRequest, 0, err.Error()})
		return
	}
	body, hold, err := h.readBody(w, r, t.Config().Limits.MaxBodyBytes)
	defer hold.Release()
	if err != nil {
		h.refuseUnreadBody(w, r, err)
		return
	}
	defer h.calls.Add(-1)
	if !h.beginCall() {
		h.refuse(w, r, errorResponse{http.StatusServiceUnavailable, fullRetryAfter, "too many calls in progress"})
		return
	}
	c := h.newCall(w, r, t, route, call, body, start)
	defer c.cancel()
	c.customer, c.hasCustomer = customer, needsKey(t, route)
	c.hideKeys = t.HasCustomers()
	c.serve()
}

func (h *Handler) newCall(
	w http.ResponseWriter, r *http.Request, t *table.Table, route deck.Route, call deck.Call, body []byte, start time.Time,
) *callRun {
	limit := route.Timeout
	if call.Timeout > 0 {
		limit = min(limit, call.Timeout)
	}
	if limit <= 0 {
		limit = defaultTimeout
	}
	c := &callRun{
		h: h, w: w, r: r, route: route, call: call, body: body, parts: partFingerprints(call.Parts), start: start, read: time.Now(),
		deadline: start.Add(limit),
		version:  t.Config().Version, routes: t, origin: &atomic.Pointer[deck.StreamOrigin]{},
	}
	if len(body) == 0 && len(call.Parts) == 0 {
		c.repetitions = repetitionFingerprints(r)
	}
	limitAnswer(w, c.deadline)
	ctx, cancelDeadline := context.WithDeadlineCause(r.Context(), c.deadline, errDeadline)
	ctx, cancel := context.WithCancelCause(ctx)
	stop := h.ending.Notify(func() { cancel(errStopping) })
	c.ctx = ctx
	c.cancel = func() {
		stop()
		cancel(nil)
		c.ahead.Release()
		cancelDeadline()
	}
	service := table.PickService(route, h.Random.Float64())
	c.requirements = balance.Requirements{
		PromptParts: call.Parts, Draw: h.Random.Float64(), Tried: make(map[deck.BackendName]bool),
		MaxWait: time.Duration(serverQueueShare * float64(route.LatencyTarget)),
	}
	c.useService(service)
	return c
}

// rawPath returns the path as sent, without unescaping.
func rawPath(r *http.Request) string {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
}

func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *inbound.Hold, error) {
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	return h.Memory.ReadBody(w, r, limit)
}

// An errorResponse is an answer that this handler generates instead of relaying one.
type errorResponse struct {
	status     int
	retryAfter time.Duration // 0 for none
	reason     string
}

// maxRouteAge is the age of the routing configuration from which on a route that it lacks may have been added since.
const maxRouteAge = 3 * time.Second

// refuseUnrouted refuses a request without a route. Only a VM that knows the newest configuration can tell that there is none.
func (h *Handler) refuseUnrouted(w http.ResponseWriter, r *http.Request) {
	if !h.knowsNewestConfig() {
		h.refuse(w, r, errorResponse{http.StatusServiceUnavailable, noServerRetryAfter, "routing configuration may be out of date"})
		return
	}
	h.refuse(w, r, errorResponse{http.StatusNotFound, 0, "no route for host and path"})
}

func (h *Handler) refuseUnreadBody(w http.ResponseWriter, r *http.Request, err error) {
	var large *http.MaxBytesError
	w.Header().Set("Connection", "close")
	switch {
	case errors.As(err, &large):
		h.refuse(w, r, errorResponse{http.StatusRequestEntityTooLarge, 0, "body is too large"})
		return
	case errors.Is(err, inbound.ErrNoRoom):
		h.refuse(w, r, errorResponse{http.StatusServiceUnavailable, inbound.RetryAfter, err.Error()})
		return
	case errors.Is(err, inbound.ErrSlowBody):
		h.refuse(w, r, errorResponse{http.StatusRequestTimeout, 0, err.Error()})
		return
	}
	h.Log.Info("reading the request body failed", "path", r.URL.Path, "reason", err.Error())
	panic(http.ErrAbortHandler) // the connection is broken, so no answer can be sent
}

// refuse logs and answers a request that is not sent to any server.
func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, f errorResponse) {
	h.Log.Info("refused", "host", r.Host, "path", r.URL.Path, "status", f.status, "reason", f.reason,
		"retry-after-ms", f.retryAfter.Milliseconds())
	writeError(w, f)
}

func writeError(w http.ResponseWriter, f errorResponse) {
	if f.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(f.retryAfter.Seconds(), 'f', 2, 64))
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(f.reason)+1))
	w.WriteHeader(f.status)
	_, _ = io.WriteString(w, f.reason+"\n") // fails only if the caller has disconnected
}
