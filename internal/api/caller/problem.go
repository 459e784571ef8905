package caller

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Values of Retry-After on refused requests.
const (
	drainingRetryAfter = time.Second // short, since other VMs accept requests meanwhile
	defaultRetryAfter  = 2 * time.Second
)

// headerNotRun is "true" on a response to a request that provably did not run.
const headerNotRun = "Not-Run"

// Error types of the inference API.
const (
	typeInvalidRequest = "invalid_request_error"
	typeServerError    = "server_error"
	typeRateLimit      = "rate_limit_error"
)

// A problem is an error response.
type problem struct {
	status     int
	code       string
	message    string
	notRun     bool
	retryAfter time.Duration
}

// An errorBody is the body of an error response of the inference API.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	NotRun  bool   `json:"not-run,omitempty"`
}

// invalidProblem returns the response to an invalid request, which the caller must change before a retry.
func invalidProblem(code, message string) *problem {
	return &problem{status: http.StatusBadRequest, code: code, message: message, notRun: true}
}

// notRunProblem returns the response to a request that did not run.
func notRunProblem(status int, code, message string, retryAfter time.Duration) *problem {
	return &problem{status: status, code: code, message: message, notRun: true, retryAfter: retryAfter}
}

// refusalProblem returns the response to a request that the router or the attempt runner refused.
func refusalProblem(r *deck.Refusal, notRun bool) *problem {
	p := &problem{message: r.Reason, notRun: notRun, retryAfter: r.RetryAfter}
	switch r.Kind {
	case deck.RefusedOverload:
		p.status, p.code = http.StatusTooManyRequests, "overloaded"
	case deck.RefusedUnknownModel:
		p.status, p.code = http.StatusNotFound, "model_not_found"
	case deck.RefusedPoison:
		p.status, p.code = http.StatusUnprocessableEntity, "poison_request"
	case deck.RefusedDraining:
		p.status, p.code = http.StatusServiceUnavailable, "draining"
	default:
		p.status, p.code = http.StatusServiceUnavailable, "no_backend"
	}
	return p
}

// write sends the problem as a complete response.
func (p *problem) write(w http.ResponseWriter) {
	if p.notRun {
		w.Header().Set(headerNotRun, "true")
	}
	if p.retryAfter > 0 {
		seconds := max(1, int(math.Ceil(p.retryAfter.Seconds())))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	writeJSON(w, p.status, p.body())
}

func (p *problem) body() errorBody {
	return errorBody{Error: errorDetail{Message: p.message, Type: p.errorType(), Code: p.code, NotRun: p.notRun}}
}

func (p *problem) errorType() string {
	switch {
	case p.status == http.StatusTooManyRequests:
		return typeRateLimit
	case p.status < http.StatusInternalServerError:
		return typeInvalidRequest
	default:
		return typeServerError
	}
}
