package caller

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/api/inbound"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	wire "github.com/geraniumdeck/geraniumdeck/internal/wire/engine"
)

// Limits of a caller's input.
const (
	defaultMaxBodyBytes = 4 << 20
	maxModelNameBytes   = 256
	maxTokens           = 1 << 20
	maxDeadline         = 24 * time.Hour
	bytesPerToken       = 4 // approximate average of common tokenisers
	decodedFactor       = 3 // bytes that a decoded body takes for each of its own
)

// An inferenceRequest is the decoded body of a request to the inference API.
type inferenceRequest struct {
	model        string // MODEL or MODEL:ADAPTER
	stream       bool
	maxTokens    int
	includeUsage bool // end the stream with a chunk that holds the token usage
	prompt       string
	fields       map[string]json.RawMessage
}

// decodeInference decodes the body of an inference request.
func decodeInference(body []byte) (inferenceRequest, error) {
	var q inferenceRequest
	if err := json.Unmarshal(body, &q.fields); err != nil {
		return q, errors.Newf("the body is not a JSON object: %v", err)
	}
	if err := q.decodeField("model", &q.model, "a string"); err != nil {
		return q, err
	}
	if q.model == "" || len(q.model) > maxModelNameBytes {
		return q, errors.Newf("model must have 1 to %d bytes", maxModelNameBytes)
	}
	if err := q.decodeField("stream", &q.stream, "a boolean"); err != nil {
		return q, err
	}
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		if err := q.decodeField(name, &q.maxTokens, "an integer"); err != nil {
			return q, err
		}
		if q.maxTokens < 0 || q.maxTokens > maxTokens {
			return q, errors.Newf("%s must be from 0 to %d", name, maxTokens)
		}
	}
	if err := q.decodeStreamOptions(); err != nil {
		return q, err
	}
	prompt, err := wire.PromptText(q.fields)
	q.prompt = prompt
	return q, err
}

// decodeStreamOptions decodes stream_options, which is an error in a request that does not stream.
func (q *inferenceRequest) decodeStreamOptions() error {
	var options struct {
		IncludeUsage bool `json:"include_usage"`
	}
	if err := q.decodeField("stream_options", &options, "an object whose include_usage is a boolean"); err != nil {
		return err
	}
	if _, given := q.fields["stream_options"]; given && !q.stream {
		return errors.New("stream_options needs stream")
	}
	q.includeUsage = options.IncludeUsage
	return nil
}

// decodeField decodes a field into out if it is present; want describes the expected type.
func (q *inferenceRequest) decodeField(name string, out any, want string) error {
	raw, ok := q.fields[name]
	if !ok {
		return nil
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return errors.Newf("%s must be %s", name, want)
	}
	return nil
}

// engineBody returns the request body for the engine, which always streams. Its top-level keys are sorted, so that requests
// that differ only in the order of these keys have the same digest.
func (q *inferenceRequest) engineBody(model deck.ModelName) []byte {
	q.fields["model"] = mustMarshal(string(model))
	q.fields["stream"] = []byte("true")
	q.fields["stream_options"] = []byte(`{"include_usage":true}`) // non-streaming answers report the token usage too
	var b bytes.Buffer
	enc := json.NewEncoder(&b)
	enc.SetEscapeHTML(false) // keeps <, > and & in the caller's texts unescaped
	if err := enc.Encode(q.fields); err != nil {
		panic(err) // the fields were decoded from JSON
	}
	return bytes.TrimSuffix(b.Bytes(), []byte("\n"))
}

// requestDigest returns the digest that identifies a request's content in poison-request detection.
func requestDigest(path string, adapter deck.AdapterName, body []byte) string {
	return contentDigest([]byte(path), []byte(adapter), body)
}

// contentDigest returns the hexadecimal SHA-256 hash of the parts. Each part is prefixed with its length, so that moving
// bytes from one part to the next changes the hash.
func contentDigest(parts ...[]byte) string {
	h := sha256.New()
	for _, p := range parts {
		_, _ = io.WriteString(h, strconv.Itoa(len(p))+":")
		_, _ = h.Write(p)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// readBody reads a request's body within the size limit and the memory for requests; the hold is to be released when the request has
// ended. A request that is whole only after this VM has begun to drain is refused as a new one is.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *inbound.Hold, *problem) {
	limit := h.MaxBodyBytes
	if limit == 0 {
		limit = defaultMaxBodyBytes
	}
	body, hold, err := h.Memory.ReadBody(w, r, limit)
	if err == nil && h.inFlight.isDraining() {
		return nil, hold, drainingProblem()
	}
	if err == nil && !hold.Grow(decodedFactor*int64(len(body))) {
		err = inbound.ErrNoRoom
	}
	if err == nil {
		return body, hold, nil
	}
	w.Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		message := fmt.Sprintf("the body exceeds %d bytes", limit)
		return nil, hold, notRunProblem(http.StatusRequestEntityTooLarge, "body_too_large", message, 0)
	case errors.Is(err, inbound.ErrNoRoom):
		return nil, hold, notRunProblem(http.StatusServiceUnavailable, "overloaded", err.Error(), inbound.RetryAfter)
	default:
		return nil, hold, invalidProblem("body_unreadable", "the body could not be read")
	}
}

// callerID returns the identity under which a request counts for fairness: a hash of the bearer token, or else the remote IP.
func callerID(r *http.Request) string {
	if token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer "); ok && token != "" {
		return contentDigest([]byte(token))[:32]
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// serviceClass returns the class in the Service-Class header, or the model's default.
func serviceClass(r *http.Request, m deck.Model) (deck.Class, *problem) {
	switch r.Header.Get("Service-Class") {
	case "":
		return m.Class, nil
	case deck.Interactive.String():
		return deck.Interactive, nil
	case deck.Batch.String():
		return deck.Batch, nil
	default:
		return 0, invalidProblem("invalid_service_class", "Service-Class must be interactive or batch")
	}
}

// firstTokenDeadline returns the deadline for the first token; the zero time if the request has none.
func firstTokenDeadline(r *http.Request, now time.Time) (time.Time, *problem) {
	s := r.Header.Get("Deadline-Ms")
	if s == "" {
		return time.Time{}, nil
	}
	ms, err := strconv.ParseUint(s, 10, 63)
	if err != nil || ms == 0 || ms > uint64(maxDeadline.Milliseconds()) {
		return time.Time{}, invalidProblem("invalid_deadline", "Deadline-Ms must be an integer from 1 to 86400000")
	}
	return now.Add(time.Duration(ms) * time.Millisecond), nil
}

// resolveModel finds a model by its name, or a model and one of its adapters by a name of the form MODEL:ADAPTER.
func resolveModel(s deck.State, name string) (deck.Model, deck.AdapterName, *problem) {
	if m, ok := s.Model(deck.ModelName(name)); ok {
		return m, "", nil
	}
	unknown := notRunProblem(http.StatusNotFound, "model_not_found", "there is no model "+strconv.Quote(name), 0)
	i := strings.LastIndexByte(name, ':')
	if i < 0 {
		return deck.Model{}, "", unknown
	}
	m, ok := s.Model(deck.ModelName(name[:i]))
	a, found := s.Adapter(deck.AdapterName(name[i+1:]))
	if !ok || !found || a.Model != m.Name {
		return deck.Model{}, "", unknown
	}
	return m, a.Name, nil
}
