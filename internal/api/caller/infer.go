package caller

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/api/inbound"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/route/attempt"
	wire "github.com/geraniumdeck/geraniumdeck/internal/wire/engine"
)

// serveInference serves a request for a completion or a chat completion.
func (h *Handler) serveInference(w http.ResponseWriter, r *http.Request) {
	body, hold, problem := h.readBody(w, r)
	defer hold.Release()
	if problem != nil {
		problem.write(w)
		return
	}
	if r.Header.Get(wire.HeaderLastEventID) != "" {
		// The caller would append an answer that begins anew to the events that it has.
		invalidProblem("resumption_unsupported", "an answer can't be taken up in a further request; send it without Last-Event-ID").write(w)
		return
	}
	q, err := decodeInference(body)
	if err != nil {
		invalidProblem("invalid_request", err.Error()).write(w)
		return
	}
	req, problem := h.newAttemptRequest(r, q)
	if problem != nil {
		problem.write(w)
		return
	}
	if q.stream {
		h.serveStream(w, r, req, q.includeUsage)
		return
	}
	h.serveDocument(w, r, req)
}

// newAttemptRequest returns the request in the form that the attempt runner needs, or the reason why it is invalid.
func (h *Handler) newAttemptRequest(r *http.Request, q inferenceRequest) (attempt.Request, *problem) {
	model, adapter, problem := resolveModel(h.State.State(), q.model)
	if problem != nil {
		return attempt.Request{}, problem
	}
	class, problem := serviceClass(r, model)
	if problem != nil {
		return attempt.Request{}, problem
	}
	deadline, problem := firstTokenDeadline(r, h.Clock.Now())
	if problem != nil {
		return attempt.Request{}, problem
	}
	body := q.engineBody(model.Name)
	return attempt.Request{
		Info: deck.RequestInfo{
			Digest:       requestDigest(r.URL.Path, adapter, body),
			Parts:        wire.PromptParts(q.fields),
			Caller:       callerID(r),
			Model:        model.Name,
			Adapter:      adapter,
			Class:        class,
			PrefixHashes: wire.PrefixHashes(string(model.Name), q.prompt),
			PromptTokens: 1 + len(q.prompt)/bytesPerToken,
			MaxTokens:    q.maxTokens,
			Deadline:     deadline,
		},
		Version: func(b deck.BackendName) deck.VersionName { return h.versionOn(model, b) },
		Path:    r.URL.Path,
		Body:    body,
	}, nil
}

// versionOn returns the model version that a new attempt uses on a backend server: the active version, or the one that is
// loaded there while the active version is not ready yet. Requests in flight keep the version of a model that was removed.
func (h *Handler) versionOn(m deck.Model, b deck.BackendName) deck.VersionName {
	if current, ok := h.State.State().Model(m.Name); ok {
		m = current
	}
	if h.Residency == nil {
		return m.Active
	}
	version := m.Active
	for _, r := range h.Residency.Replicas(m.Name) {
		if r.Backend != b || !r.Ready {
			continue
		}
		if r.Version == m.Active {
			return m.Active
		}
		version = r.Version
	}
	return version
}

// serveStream answers a request with a stream of server-sent events.
func (h *Handler) serveStream(w http.ResponseWriter, r *http.Request, req attempt.Request, includeUsage bool) {
	sink := newStreamSink(w, includeUsage)
	result := h.runAttempts(r, req, sink)
	if result.Kind == attempt.Completed {
		sink.complete()
		return
	}
	if result.Kind == attempt.Disconnected {
		return
	}
	if sink.headerSent {
		sink.fail(resultProblem(result))
		return
	}
	writeFailure(w, result)
}

// runAttempts runs the request with retries and hedges, and records a summary of it.
func (h *Handler) runAttempts(r *http.Request, req attempt.Request, sink attempt.Sink) attempt.Result {
	m := newMeteredSink(sink, h.Clock)
	result := h.runner.Run(r.Context(), req, m)
	if result.Kind == attempt.Disconnected && errors.Is(context.Cause(r.Context()), errStopping) {
		result = stoppedResult(result)
	}
	if h.Recorder != nil {
		h.Recorder.Record(m.summary(req.Info, result))
	}
	return result
}

// stoppedResult returns the result of a request that was ended because this VM stops.
func stoppedResult(r attempt.Result) attempt.Result {
	if r.NotRun {
		r.Kind = attempt.Refused
		r.Refusal = &deck.Refusal{Kind: deck.RefusedDraining, Reason: errStopping.Error(), RetryAfter: drainingRetryAfter}
		return r
	}
	r.Kind, r.Reason = attempt.Failed, errStopping.Error()
	return r
}

// serveDocument answers a non-streaming request with one JSON document.
func (h *Handler) serveDocument(w http.ResponseWriter, r *http.Request, req attempt.Request) {
	sink := collector{room: inbound.RoomOf(r.Context())}
	result := h.runAttempts(r, req, &sink)
	switch {
	case result.Kind == attempt.Completed:
		writeJSON(w, http.StatusOK, sink.document(req.Path))
	case sink.err != nil:
		(&problem{status: http.StatusBadGateway, code: "answer_unusable", message: sink.err.Error()}).write(w)
	case result.Kind != attempt.Disconnected:
		writeFailure(w, result)
	}
}

// resultProblem returns the error response for a request whose answer is not complete.
func resultProblem(r attempt.Result) *problem {
	switch r.Kind {
	case attempt.Refused:
		return refusalProblem(r.Refusal, r.NotRun)
	case attempt.Rejected:
		return &problem{status: r.Err.Status, code: "rejected", message: "the engine refused the request", notRun: r.NotRun}
	default:
		return &problem{status: http.StatusBadGateway, code: "answer_cut", message: "the answer is not whole: " + r.Reason}
	}
}

// writeFailure writes an error response; nothing of the answer may have been sent yet. An error document from the engine is
// relayed unchanged.
func writeFailure(w http.ResponseWriter, r attempt.Result) {
	p := resultProblem(r)
	if r.Kind != attempt.Rejected || !isErrorDocument(r.Err.Body) {
		p.write(w)
		return
	}
	if p.notRun {
		w.Header().Set(headerNotRun, "true")
	}
	writeJSON(w, p.status, json.RawMessage(r.Err.Body))
}

func isErrorDocument(data []byte) bool {
	var d struct {
		Error *json.RawMessage `json:"error"`
	}
	return json.Unmarshal(data, &d) == nil && d.Error != nil
}
