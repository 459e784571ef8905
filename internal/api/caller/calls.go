package caller

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/route/attempt"
)

// Limits of calls to plain services. A call that may run only once continues after its caller disconnects, so that its outcome
// is recorded.
const (
	claimTimeout         = 5 * time.Second
	callTimeout          = 30 * time.Second
	maxKeyBytes          = 255
	maxRecordedBodyBytes = 64 << 10
)

// headerIdempotencyKey carries the caller's idempotency key.
const headerIdempotencyKey = "Idempotency-Key"

// headerBodyOmitted is "true" on a replayed answer whose body exceeded maxRecordedBodyBytes and was not recorded.
const headerBodyOmitted = "Body-Omitted"

// serveRepeatable sends a call that may run more than once, and retries it at other instances within the retry budget.
func (h *Handler) serveRepeatable(w http.ResponseWriter, r *http.Request, t target, call deck.ServiceCall) {
	h.runner.Budget.RecordRequest()
	answer := deck.ServiceAnswer{Outcome: deck.OutcomeNotRun, Reason: "the service has no instance"}
	mayHaveRun := false
	sent := 0
	suspect := h.newSuspect(r, t, call)
	for _, b := range h.instances(t.service) {
		if suspect.IsRefused() {
			answer = deck.ServiceAnswer{Outcome: deck.OutcomeNotRun, Reason: crashingCallReason}
			if !mayHaveRun {
				crashingCallProblem().write(w)
				return
			}
			break
		}
		if !h.takesCalls(r.Context(), b) {
			continue
		}
		if sent > 0 && !h.runner.Budget.TryTake() {
			break
		}
		sent++
		ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
		answer = h.callInstance(ctx, b, call, suspect)
		cancel()
		if answer.Outcome == deck.OutcomeDone || r.Context().Err() != nil {
			break
		}
		mayHaveRun = mayHaveRun || answer.Outcome == deck.OutcomeUnknown
	}
	if mayHaveRun && answer.Outcome == deck.OutcomeNotRun {
		answer.Outcome = deck.OutcomeUnknown
	}
	writeAnswer(w, h.withRetryAfter(answer, t.service))
}

// serveAtMostOnce sends a call that must not run twice. It claims the idempotency key, sends the call and records the outcome,
// in this order.
func (h *Handler) serveAtMostOnce(w http.ResponseWriter, r *http.Request, t target, call deck.ServiceCall) {
	key := r.Header.Get(headerIdempotencyKey)
	if !isValidKey(key) {
		invalidProblem("idempotency_key_required", "this call needs an Idempotency-Key of 1 to 255 visible ASCII characters").write(w)
		return
	}
	recordKey := string(t.service.Name) + "/" + key
	suspect := h.newSuspect(r, t, call)
	call.IdempotencyKey = key
	claim := h.claimKey(r.Context(), recordKey, callDigest(r, t, call))
	if problem := claimProblem(claim.Status); problem != nil {
		problem.write(w)
		return
	}
	if claim.Status == deck.ClaimFinished {
		w.Header().Set("Idempotent-Replay", "true")
		writeAnswer(w, claim.Answer)
		return
	}
	if suspect.IsRefused() {
		h.recordOutcome(r.Context(), recordKey, deck.ServiceAnswer{Outcome: deck.OutcomeNotRun, Reason: crashingCallReason})
		crashingCallProblem().write(w)
		return
	}
	answer := h.callOnce(r.Context(), t, call, suspect)
	h.recordOutcome(r.Context(), recordKey, answer)
	writeAnswer(w, answer)
}

// callOnce tries the instances in turn until one may have run the call. It goes on to the next instance only if the answer
// proves that the previous one did not run the call.
func (h *Handler) callOnce(
	ctx context.Context, t target, call deck.ServiceCall, suspect attempt.ServiceCall,
) deck.ServiceAnswer {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	defer h.ending.Notify(cancel)()
	answer := deck.ServiceAnswer{Outcome: deck.OutcomeNotRun, Reason: "the service has no instance"}
	for _, b := range h.instances(t.service) {
		if !h.takesCalls(ctx, b) {
			continue
		}
		answer = h.callInstance(ctx, b, call, suspect)
		if answer.Outcome != deck.OutcomeNotRun {
			break
		}
	}
	return h.withRetryAfter(answer, t.service)
}

func (h *Handler) claimKey(ctx context.Context, recordKey, digest string) deck.Claim {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout)
	defer cancel()
	return h.Idempotency.Begin(ctx, recordKey, digest)
}

// recordOutcome records the outcome of a call. If that fails, the record stays in progress and later becomes unknown, so that
// the call is never sent again.
func (h *Handler) recordOutcome(ctx context.Context, recordKey string, answer deck.ServiceAnswer) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout)
	defer cancel()
	_ = h.Idempotency.Finish(ctx, recordKey, withoutLargeBody(answer))
}

// withoutLargeBody returns the answer to record: a body above maxRecordedBodyBytes is replaced by headerBodyOmitted.
func withoutLargeBody(a deck.ServiceAnswer) deck.ServiceAnswer {
	if len(a.Body) <= maxRecordedBodyBytes {
		return a
	}
	headers := map[string]string{headerBodyOmitted: "true"}
	for k, v := range a.Headers {
		headers[k] = v
	}
	a.Headers, a.Body = headers, nil
	return a
}

const crashingCallReason = "repetitions of this call have crashed several instances of the service"

// crashingCallProblem returns the refusal of a call whose repetitions have crashed instances.
func crashingCallProblem() *problem {
	return notRunProblem(http.StatusUnprocessableEntity, "poison_request", crashingCallReason, 0)
}

// newSuspect returns the call as a suspect of crashes, by its target and content, with and without its caller: repetitions may come from
// other callers, and other callers' calls of the same target may be sound.
func (h *Handler) newSuspect(r *http.Request, t target, call deck.ServiceCall) attempt.ServiceCall {
	content := contentDigest([]byte(t.service.Name), []byte(call.Method), []byte(call.Path), []byte(call.Query), call.Body)
	return h.runner.NewServiceCall(callerID(r)+" "+callDigest(r, t, call), content)
}

// callDigest returns a digest of a call and its credentials, so that a recorded answer is replayed only to the caller who made
// the call.
func callDigest(r *http.Request, t target, call deck.ServiceCall) string {
	return contentDigest([]byte(t.service.Name), []byte(call.Method), []byte(call.Path), []byte(call.Query),
		[]byte(r.Header.Get("Authorization")), []byte(r.Header.Get("Content-Type")), call.Body)
}

// claimProblem returns the error response for a claim that does not allow the call; nil if it is granted or finished.
func claimProblem(s deck.ClaimStatus) *problem {
	switch s {
	case deck.ClaimGranted, deck.ClaimFinished:
		return nil
	case deck.ClaimInProgress:
		return &problem{
			status: http.StatusConflict, code: "in-progress", message: "a call with this key is in progress",
			retryAfter: defaultRetryAfter,
		}
	case deck.ClaimUnknown:
		return &problem{
			status: http.StatusConflict, code: "outcome-unknown",
			message: "a call with this key may have run and its answer is lost",
		}
	case deck.ClaimMismatch:
		return notRunProblem(http.StatusUnprocessableEntity, "key-mismatch", "the key stands with another request", 0)
	default:
		return notRunProblem(http.StatusServiceUnavailable, "claim-unavailable", "the key could not be claimed", defaultRetryAfter)
	}
}

// isValidKey reports whether an idempotency key has 1 to 255 visible ASCII characters.
func isValidKey(key string) bool {
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return false
		}
	}
	return key != "" && len(key) <= maxKeyBytes
}

// writeAnswer relays a service's answer, or writes an error response if there is none.
func writeAnswer(w http.ResponseWriter, a deck.ServiceAnswer) {
	switch a.Outcome {
	case deck.OutcomeNotRun:
		notRunProblem(http.StatusServiceUnavailable, "not-run", a.Reason, cmp.Or(a.RetryAfter, defaultRetryAfter)).write(w)
		return
	case deck.OutcomeUnknown:
		(&problem{status: http.StatusBadGateway, code: "outcome-unknown", message: a.Reason}).write(w)
		return
	}
	for name, value := range a.Headers {
		if !isDroppedHeader(http.CanonicalHeaderKey(name)) {
			w.Header().Set(name, value)
		}
	}
	writeResponse(w, a.Status, a.Body)
}
