package ingress

import (
	"net/http"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/route/table"
)

// unverifiedRetryAfter is the retry delay of a call whose key this VM can't check at the moment. Other VMs may be able to.
const unverifiedRetryAfter = 250 * time.Millisecond

// A KeyRefusal is the reason for which a call was refused because of its API key.
type KeyRefusal string

// The reasons; the zero value refuses nothing. They never contain the key.
const (
	KeyMissing    KeyRefusal = "API key is missing"
	KeyRepeated   KeyRefusal = "more than one API key"
	KeyMalformed  KeyRefusal = "API key is malformed"
	KeyUnknown    KeyRefusal = "API key is unknown"
	KeyUnverified KeyRefusal = "this VM can't verify API keys at the moment" // the key may be valid or not
)

// needsKey reports whether calls on the route need a key.
func needsKey(t *table.Table, route deck.Route) bool {
	return t.HasCustomers() && !route.Public
}

// findCustomer returns the customer that holds the one key of a call, or why there is none.
func findCustomer(t *table.Table, keys []deck.APIKey) (deck.Customer, KeyRefusal) {
	switch {
	case len(keys) == 0:
		return deck.Customer{}, KeyMissing
	case len(keys) > 1:
		return deck.Customer{}, KeyRepeated
	case !keys[0].IsWellFormed():
		return deck.Customer{}, KeyMalformed
	}
	customer, ok := t.Customer(keys[0])
	if !ok {
		return deck.Customer{}, KeyUnknown
	}
	return customer, ""
}

// A configTrust says what this VM may conclude from its configuration. It is determined before the routing table is loaded: the table is
// then at least as new as the configuration that was confirmed.
type configTrust struct {
	keys   bool // keys that it holds are still valid
	newest bool // what it lacks is not configured
}

func (h *Handler) configTrust() configTrust {
	return configTrust{
		keys:   h.trustsKeys(),
		newest: h.knowsNewestConfig() && (h.HeardLeader == nil || h.HeardLeader()),
	}
}

// trustsKeys reports whether keys of the configuration in force may be accepted.
func (h *Handler) trustsKeys() bool {
	return h.TrustsKeys == nil || h.TrustsKeys()
}

// knowsNewestConfig reports whether a leader has confirmed the configuration so recently that it may be the newest.
func (h *Handler) knowsNewestConfig() bool {
	return h.ViewAge == nil || h.ViewAge() <= maxRouteAge
}

// checkKey returns the customer of a call on a route that needs a key, or why the call is refused.
func checkKey(trust configTrust, t *table.Table, keys []deck.APIKey) (deck.Customer, KeyRefusal) {
	customer, refusal := findCustomer(t, keys)
	if !trust.keys || refusal != "" && !trust.newest { // a newer configuration may differ
		return deck.Customer{}, KeyUnverified
	}
	return customer, refusal
}

// RefusesKeys reports whether calls need keys and none is accepted at the moment.
func (h *Handler) RefusesKeys() bool {
	t := h.routes.Load()
	return t != nil && t.HasCustomers() && !h.trustsKeys()
}

// ConfigVersion returns the version of the configuration in force; 0 for none.
func (h *Handler) ConfigVersion() uint64 {
	if t := h.routes.Load(); t != nil {
		return t.Config().Version
	}
	return 0
}

// refuseKey refuses a request because of its key.
func (h *Handler) refuseKey(w http.ResponseWriter, r *http.Request, call deck.Call, refusal KeyRefusal) {
	f := keyRefusalResponse(refusal)
	if f.retryAfter > 0 {
		f.retryAfter += time.Duration(h.Random.Float64() * retryJitterShare * float64(f.retryAfter))
	}
	h.Log.Info("refused", "request", string(call.ID), "host", r.Host, "path", r.URL.Path, "status", f.status, "reason", f.reason,
		"config", h.ConfigVersion(), "retry-after-ms", f.retryAfter.Milliseconds())
	h.recordKeyRefusal(refusal)
	writeError(w, f)
}

func (h *Handler) recordKeyRefusal(refusal KeyRefusal) {
	if h.OnKeyRefused != nil {
		h.OnKeyRefused(refusal)
	}
}

func keyRefusalResponse(refusal KeyRefusal) errorResponse {
	if refusal == KeyUnverified {
		return errorResponse{http.StatusServiceUnavailable, unverifiedRetryAfter, "not run: " + string(refusal)}
	}
	return errorResponse{http.StatusUnauthorized, 0, string(refusal)}
}

// mayStillRun checks the key of a call again before it is sent to a backend server, since the call may have waited, or this VM may have
// been suspended. It returns false if the caller has been answered. A stream that has begun goes on.
func (c *callRun) mayStillRun() bool {
	refusal, ok := c.recheckKey()
	if !ok {
		c.refuseKey(refusal)
	}
	return ok
}

// recheckKey reports whether the call's key is still accepted, and otherwise why not.
func (c *callRun) recheckKey() (refusal KeyRefusal, ok bool) {
	if !c.hasCustomer || c.headSent {
		return "", true
	}
	trust := c.h.configTrust()
	t := c.h.routes.Load()
	if !needsKey(t, c.route) {
		return "", true
	}
	customer, refusal := checkKey(trust, t, c.call.Keys)
	return refusal, refusal == "" && customer.Name == c.customer.Name
}

// refuseKey answers a call whose key is no longer accepted.
func (c *callRun) refuseKey(refusal KeyRefusal) {
	if refusal == "" {
		refusal = KeyUnknown // the key has another customer now
	}
	if c.possibleRuns > 0 {
		c.fail()
		return
	}
	c.h.recordKeyRefusal(refusal)
	if refusal == KeyUnverified {
		c.refuseNotRun(unverifiedRetryAfter, string(refusal))
		return
	}
	f := keyRefusalResponse(refusal)
	c.recordEnd(f.status, f.reason)
	writeError(c.w, f)
}
