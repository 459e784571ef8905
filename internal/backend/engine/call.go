package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/api/inbound"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	wire "github.com/geraniumdeck/geraniumdeck/internal/wire/engine"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/eventstream"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/httpresponse"
)

// Timeouts of requests other than token streams.
const (
	unaryTimeout = 2 * time.Second
	kvTimeout    = 30 * time.Second
)

const (
	maxReportBytes = 256 << 10 // a report has some kilobytes for hundreds of adapters
	maxAnswerBytes = 16 << 10  // of a response that has no more than a few fields, or none that are used

	// freeBodyBytes of a response take no room in the memory for answers.
	freeBodyBytes = 8 << 10

	// decodedBytes is how many bytes a byte of JSON may take when it is decoded.
	decodedBytes = 16
)

// errNoRoom means that there is no memory for a response or an event.
var errNoRoom = errors.New("no memory for the engine's answer beside others")

// errUnframed means that the end of a response can't be told from a lost connection.
var errUnframed = errors.New("the response has neither a length nor chunks")

// CacheEvents implements deck.Engine.CacheEvents.
func (c *Client) CacheEvents(ctx context.Context, after uint64) (deck.CacheEvents, error) {
	var w wire.CacheEvents
	path := wire.PathCacheEvents + "?after=" + strconv.FormatUint(after, 10)
	if err := c.getJSON(ctx, c.transport(false), path, wire.MaxJSONBytes, &w); err != nil {
		return deck.CacheEvents{}, err
	}
	return w.CacheEvents(), nil
}

// Cancel implements deck.Engine.Cancel. Cancelling is idempotent, so a failed request is retried once on a new connection.
func (c *Client) Cancel(ctx context.Context, id deck.RequestID) error {
	body := encode(wire.Cancel{RequestID: string(id)})
	_, err := c.do(ctx, c.transport(false), c.newPost(wire.PathCancel, body), unaryTimeout, maxAnswerBytes)
	if err == nil || ctx.Err() != nil {
		return err
	}
	_, err = c.do(ctx, c.transport(true), c.newPost(wire.PathCancel, body), unaryTimeout, maxAnswerBytes)
	return err
}

// ExportKV implements deck.Engine.ExportKV.
func (c *Client) ExportKV(ctx context.Context, id deck.RequestID) ([]byte, error) {
	r := unaryRequest{method: http.MethodGet, path: kvPath(id), framed: true}
	return c.do(ctx, c.transport(false), r, kvTimeout, wire.MaxKVBytes)
}

// ImportKV implements deck.Engine.ImportKV.
func (c *Client) ImportKV(ctx context.Context, id deck.RequestID, kv []byte) error {
	r := unaryRequest{method: http.MethodPost, path: kvPath(id), body: kv, contentType: "application/octet-stream"}
	_, err := c.do(ctx, c.transport(false), r, kvTimeout, maxAnswerBytes)
	return err
}

// SendOperation implements deck.Engine.SendOperation. It sends the operation on a new connection and never retries it. A
// context that ends with the sender's lease prevents a slow dial from sending the operation after the lease has expired.
func (c *Client) SendOperation(ctx context.Context, op deck.Operation) deck.OperationResult {
	r := c.newPost(wire.PathOperations, encode(wire.NewOperation(op)))
	r.noRetry = true
	data, err := c.do(ctx, c.transport(true), r, unaryTimeout, maxAnswerBytes)
	if err != nil {
		return deck.OperationResult{Outcome: failureOutcome(err), Reason: err.Error()}
	}
	var resp wire.OperationAnswer
	if err := json.Unmarshal(data, &resp); err != nil {
		return deck.OperationResult{Reason: errors.Wrap(err, "decode the response to an operation").Error()}
	}
	if !resp.Accepted {
		return deck.OperationResult{Outcome: deck.OutcomeNotRun, StaleToken: resp.Stale, Reason: resp.Reason}
	}
	return deck.OperationResult{Outcome: deck.OutcomeDone}
}

// Report implements deck.Engine.Report.
func (c *Client) Report(ctx context.Context) (deck.EngineReport, error) {
	var w wire.Report
	if err := c.getJSON(ctx, c.transport(false), wire.PathReport, maxReportBytes, &w); err != nil {
		return deck.EngineReport{}, err
	}
	r, err := w.EngineReport()
	if said := c.leaving.Load(); said != nil && *said == r.BootID {
		r.Draining = true
	}
	return r, err
}

// failureOutcome returns OutcomeNotRun for errors that prove that the engine did not run the operation, and OutcomeUnknown
// for all others.
func failureOutcome(err error) deck.Outcome {
	var e *deck.EngineError
	if !errors.As(err, &e) {
		return deck.OutcomeUnknown
	}
	if e.Kind == deck.EngineUnreachable || e.Kind == deck.EngineDraining || e.Kind == deck.EngineRejected {
		return deck.OutcomeNotRun
	}
	return deck.OutcomeUnknown
}

// A unaryRequest is a request whose response body is read completely before it is used.
type unaryRequest struct {
	method      string
	path        string
	body        []byte
	contentType string
	noRetry     bool               // prevents the transport from sending it again
	decode      func([]byte) error // decodes the JSON of the response, which takes room in the client's memory until then; may be nil
	framed      bool               // the response must have a length or chunks, since a part of its body looks like the whole
}

func (c *Client) newPost(path string, body []byte) unaryRequest {
	return unaryRequest{method: http.MethodPost, path: path, body: body, contentType: "application/json"}
}

func (c *Client) getJSON(ctx context.Context, t *httpresponse.Transport, path string, limit int64, out any) error {
	r := unaryRequest{method: http.MethodGet, path: path}
	r.decode = func(data []byte) error { return errors.Wrap(json.Unmarshal(data, out), path) }
	_, err := c.do(ctx, t, r, unaryTimeout, limit)
	return err
}

// do sends the request and returns the body of a successful response; a body of more than limit bytes is an error.
func (c *Client) do(ctx context.Context, t *httpresponse.Transport, r unaryRequest, timeout time.Duration, limit int64) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reused := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { reused = info.Reused }})
	req, err := http.NewRequestWithContext(ctx, r.method, c.url(r.path), bytes.NewReader(r.body))
	if err != nil {
		return nil, err
	}
	id := c.nextID()
	req.Header.Set(wire.HeaderRequestID, id)
	if r.contentType != "" {
		req.Header.Set("Content-Type", r.contentType)
	}
	if r.noRetry {
		req.GetBody = nil
	}
	resp, err := t.RoundTrip(req)
	if err != nil {
		return nil, classify(ctx, err, c.lastBootID())
	}
	defer resp.Body.Close()
	if err := c.checkIdentity(resp, id, reused); err != nil {
		return nil, err
	}
	bootID := c.recordResponse(resp, time.Time{})
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusNoContent {
		return nil, responseError(resp, bootID)
	}
	if r.framed && eventstream.EndsWithConnection(resp) {
		return nil, &deck.EngineError{Kind: deck.EngineFailed, BootID: bootID, Err: errUnframed}
	}
	body := io.LimitReader(resp.Body, limit+1)
	if r.decode != nil {
		hold := c.memory.Open(inbound.Answers, nil)
		defer hold.Release()
		body = &heldReader{reader: body, hold: hold}
	}
	data, err := io.ReadAll(body)
	switch {
	case errors.Is(err, errNoRoom):
		return nil, &deck.EngineError{Kind: deck.EngineFailed, Err: err}
	case err != nil:
		return nil, classify(ctx, err, bootID)
	case int64(len(data)) > limit:
		return nil, &deck.EngineError{Kind: deck.EngineFailed, Err: errors.Newf("response body exceeds %d bytes", limit)}
	case r.decode != nil:
		return nil, r.decode(data)
	}
	return data, nil
}

// A heldReader reads JSON that takes room until it is decoded.
type heldReader struct {
	reader io.Reader
	hold   *inbound.Hold
	read   int
}

// Read implements io.Reader.Read.
func (h *heldReader) Read(p []byte) (int, error) {
	n, err := h.reader.Read(p)
	before := max(0, h.read-freeBodyBytes)
	h.read += n
	if !h.hold.Grow(int64(decodedBytes * (max(0, h.read-freeBodyBytes) - before))) {
		return n, errNoRoom
	}
	return n, err
}

func kvPath(id deck.RequestID) string {
	return wire.PathKVPrefix + url.PathEscape(string(id))
}

// encode returns the JSON form of a wire type; wire types hold no value that JSON can't represent.
func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
