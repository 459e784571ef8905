package caller

import (
	"net/http"
	"path"
	"strings"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A target is the service and route that a path selects.
type target struct {
	service    deck.Service
	path       string // without the service's prefix, with a leading slash
	repeatable bool
}

// serveCall forwards a call to a plain service.
func (h *Handler) serveCall(w http.ResponseWriter, r *http.Request) {
	// A path that is not in canonical form could be checked against one route and served by another.
	if r.URL.RawPath != "" || !isCleanPath(r.URL.Path) {
		invalidProblem("invalid_path", "the path must be in its shortest form, without escaped slashes").write(w)
		return
	}
	t, ok := findTarget(h.State.State(), r.URL.Path)
	if !ok {
		notRunProblem(http.StatusNotFound, "not_found", "nothing is served under this path", 0).write(w)
		return
	}
	body, hold, problem := h.readBody(w, r)
	defer hold.Release()
	if problem != nil {
		problem.write(w)
		return
	}
	call := newServiceCall(r, t, body)
	if t.repeatable {
		h.serveRepeatable(w, r, t, call)
		return
	}
	h.serveAtMostOnce(w, r, t, call)
}

func isCleanPath(p string) bool {
	return path.Clean(p) == strings.TrimSuffix(p, "/") || p == "/"
}

// findTarget returns the service with the longest matching prefix, and whether its longest matching route is repeatable.
func findTarget(s deck.State, p string) (target, bool) {
	var best target
	found := false
	for _, v := range s.Services() {
		rest, ok := trimPathPrefix(p, v.Prefix)
		if ok && (!found || len(v.Prefix) > len(best.service.Prefix)) {
			best, found = target{service: v, path: rest}, true
		}
	}
	best.repeatable = isRepeatable(best.service.Routes, best.path)
	return best, found
}

// isRepeatable reports whether the longest matching route is repeatable. A path without a route is not, and of several routes
// of the same length all must be.
func isRepeatable(routes []deck.ServiceRoute, p string) bool {
	longest, repeatable := -1, false
	for _, route := range routes {
		_, ok := trimPathPrefix(p, route.Path)
		switch n := len(strings.TrimSuffix(route.Path, "/")); {
		case !ok || n < longest:
		case n == longest:
			repeatable = repeatable && route.Repeatable
		default:
			longest, repeatable = n, route.Repeatable
		}
	}
	return repeatable
}

// trimPathPrefix returns the path without the prefix; ok is false if the prefix does not match whole path segments.
func trimPathPrefix(p, prefix string) (rest string, ok bool) {
	rest, ok = strings.CutPrefix(p, strings.TrimSuffix(prefix, "/"))
	if !ok || rest != "" && rest[0] != '/' {
		return "", false
	}
	if rest == "" {
		rest = "/"
	}
	return rest, true
}

// newServiceCall returns the call to forward to the service, without the headers that isDroppedHeader names.
func newServiceCall(r *http.Request, t target, body []byte) deck.ServiceCall {
	headers := make(map[string]string)
	for name, values := range r.Header {
		if !isDroppedHeader(name) {
			headers[name] = strings.Join(values, ", ")
		}
	}
	return deck.ServiceCall{Method: r.Method, Path: t.path, Query: r.URL.RawQuery, Headers: headers, Body: body}
}

// isDroppedHeader reports whether a header is not forwarded, such as a hop-by-hop header. Idempotency-Key and
// X-Idempotency-Key are not, because net/http itself retries requests that carry one of them.
func isDroppedHeader(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Content-Length", "Accept-Encoding", "Expect", "Idempotency-Key",
		"X-Idempotency-Key", "Call-Key", headerNotRun:
		return true
	default:
		return false
	}
}
