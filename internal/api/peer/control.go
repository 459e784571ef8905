package peer

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	viewPath    = "/peer/view"
	joinPath    = "/peer/join"
	placePath   = "/peer/place"
	routingPath = "/peer/routing"

	maxControlRequestBytes  = 1 << 20 // a report of all models and adapters has about 10,000 bytes
	maxControlResponseBytes = 16 << 20
	maxRoutingBytes         = 8 << 20
)

// A JoinHandler adds replicas to the replicated log.
type JoinHandler interface {
	// Join returns nil once the replica is a member. On a VM that does not lead it returns a NotLeaderError that names the
	// leader.
	Join(ctx context.Context, id deck.ReplicaID) error
}

// A PlaceHandler places models and adapters on engines at the request of entry VMs.
type PlaceHandler interface {
	// PlaceFor is deck.Placer.Place on behalf of callers in a data centre. It fails on a VM that does not lead.
	PlaceFor(ctx context.Context, from deck.DataCentre, r deck.PlacementRequest) (deck.Placement, error)
}

// A ControlAPI serves the requests that control VMs receive from entry VMs and from each other.
type ControlAPI struct {
	Views   deck.ViewSource
	Joins   JoinHandler
	Places  PlaceHandler
	Routing deck.RoutingStore

	Verdicts deck.VerdictRegistry

	views *viewEncoder
}

// minCompressBytes is the minimum size of responses that are compressed. A list of many servers shrinks to a sixth.
const minCompressBytes = 1 << 10

const zstdEncoding = "zstd"

var (
	zstdEncoder = must(zstd.NewWriter(
		nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(128<<10),
	))
	zstdDecoder = must(zstd.NewReader(
		nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxControlResponseBytes),
	))
)

// must returns v and panics on an error. It is for constructors that fail only with invalid options.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

type joinRequestJSON struct {
	VM          string `json:"vm"`
	Incarnation uint64 `json:"incarnation"`
}

type joinResponseJSON struct {
	Leader string `json:"leader,omitempty"`
	Error  string `json:"error,omitempty"`
}

type placeRequestJSON struct {
	DataCentre string `json:"data-centre"`
	Service    string `json:"service"`
	Model      string `json:"model"`
	Adapter    string `json:"adapter,omitempty"`

	Software *string  `json:"software,omitempty"` // of the stream that needs the model; nil for a call that any engine can run
	Unusable []string `json:"unusable,omitempty"`
}

func (r placeRequestJSON) toDeck() deck.PlacementRequest {
	out := deck.PlacementRequest{
		Service: deck.ServiceName(r.Service), Model: deck.ModelName(r.Model), Adapter: deck.AdapterName(r.Adapter),
		Unusable: fromStrings[deck.BackendName](r.Unusable),
	}
	if r.Software != nil {
		out.Continued = &deck.StreamOrigin{Service: out.Service, Software: deck.SoftwareVersion(*r.Software)}
	}
	return out
}

type placeResponseJSON struct {
	Server    string `json:"server,omitempty"`
	ReadyInMs int64  `json:"ready-in-ms"`
}

// RegisterControlAPI registers the handlers of POST /peer/view, /peer/join, /peer/place, /peer/routing and /peer/lift-verdict.
func RegisterControlAPI(mux *http.ServeMux, a ControlAPI) {
	a.views = &viewEncoder{}
	mux.HandleFunc("POST "+viewPath, a.serveView)
	mux.HandleFunc("POST "+joinPath, a.serveJoin)
	mux.HandleFunc("POST "+placePath, a.servePlace)
	mux.HandleFunc("POST "+routingPath, a.serveRouting)
	mux.HandleFunc("POST "+liftVerdictPath, a.serveLiftVerdict)
}

func (a ControlAPI) serveView(w http.ResponseWriter, r *http.Request) {
	var req viewRequestJSON
	body, ok := readBody(w, r)
	if !ok || !a.views.decode(func() bool { return parseJSON(w, body, &req) }) {
		return
	}
	data, compressed := a.views.encode(a.Views.View(r.Context(), viewRequestFromWire(req)))
	if compressed {
		w.Header().Set("Content-Encoding", zstdEncoding)
	}
	writeJSON(w, data)
}

func (a ControlAPI) serveJoin(w http.ResponseWriter, r *http.Request) {
	var req joinRequestJSON
	if !readJSON(w, r, &req) {
		return
	}
	err := a.Joins.Join(r.Context(), deck.ReplicaID{VM: deck.VMName(req.VM), Incarnation: req.Incarnation})
	if err == nil {
		writeJSON(w, mustMarshal(joinResponseJSON{}))
		return
	}
	resp := joinResponseJSON{Error: err.Error()}
	var notLeader deck.NotLeaderError
	if errors.As(err, &notLeader) {
		resp.Leader = string(notLeader.Leader.VM)
	}
	w.WriteHeader(http.StatusConflict)
	writeJSON(w, mustMarshal(resp))
}

func (a ControlAPI) servePlace(w http.ResponseWriter, r *http.Request) {
	var req placeRequestJSON
	if !readJSON(w, r, &req) {
		return
	}
	p, err := a.Places.PlaceFor(r.Context(), deck.DataCentre(req.DataCentre), req.toDeck())
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	writeJSON(w, mustMarshal(placeResponseJSON{Server: string(p.Server), ReadyInMs: p.ReadyIn.Milliseconds()}))
}

func (a ControlAPI) serveRouting(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRoutingBytes))
	if err != nil {
		http.Error(w, "body is incomplete or too large", http.StatusRequestEntityTooLarge)
		return
	}
	err = a.Routing.PutRouting(r.Context(), body)
	switch {
	case errors.Is(err, deck.ErrInvalidRouting):
		http.Error(w, err.Error(), http.StatusBadRequest)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	body, ok := readBody(w, r)
	return ok && parseJSON(w, body, v)
}

// readBody returns the body of a request; ok is false if the request has been answered with an error.
func readBody(w http.ResponseWriter, r *http.Request) (body []byte, ok bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxControlRequestBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return nil, false
	}
	return body, true
}

// parseJSON decodes the body of a request; it returns false if the request has been answered with an error.
func parseJSON(w http.ResponseWriter, body []byte, v any) bool {
	if err := json.Unmarshal(body, v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// A ControlClient sends requests to control VMs. The name of a control VM is the host:port of its peers' listener.
type ControlClient struct {
	HTTP       *http.Client
	DataCentre deck.DataCentre
	Leader     func() (deck.VMName, bool)
}

var (
	_ deck.ViewClient = ControlClient{}
	_ deck.Placer     = ControlClient{}
)

// RequestView implements deck.ViewClient.RequestView.
func (c ControlClient) RequestView(ctx context.Context, to deck.VMName, r deck.ViewRequest) (deck.ViewAnswer, error) {
	var resp viewAnswerJSON
	err := c.post(ctx, to, viewPath, viewRequestToWire(r), &resp)
	return viewAnswerFromWire(resp), err
}

// AskJoin implements join.Transport.AskJoin.
func (c ControlClient) AskJoin(ctx context.Context, to deck.VMName, id deck.ReplicaID) (deck.VMName, error) {
	body, err := json.Marshal(joinRequestJSON{VM: string(id.VM), Incarnation: id.Incarnation})
	if err != nil {
		return "", err
	}
	var resp joinResponseJSON
	status, data, err := c.send(ctx, to, joinPath, body)
	if err != nil {
		return "", err
	}
	if err := json.Unmarshal(data, &resp); err != nil {
		return "", errors.Wrapf(err, "decode join response with status %d", status)
	}
	if status != http.StatusOK {
		return deck.VMName(resp.Leader), errors.New(resp.Error)
	}
	return "", nil
}

// Place implements deck.Placer.Place.
func (c ControlClient) Place(ctx context.Context, r deck.PlacementRequest) (deck.Placement, error) {
	leader, ok := c.Leader()
	if !ok {
		return deck.Placement{}, errors.New("no placement leader is known")
	}
	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	var resp placeResponseJSON
	req := placeRequestJSON{
		DataCentre: string(c.DataCentre), Service: string(r.Service), Model: string(r.Model), Adapter: string(r.Adapter),
		Unusable: toStrings(r.Unusable),
	}
	if r.Continued != nil {
		software := string(r.Continued.Software)
		req.Software = &software
	}
	err := c.post(ctx, leader, placePath, req, &resp)
	return deck.Placement{
		Server: deck.BackendName(resp.Server), ReadyIn: time.Duration(resp.ReadyInMs) * time.Millisecond,
	}, err
}

// placeTimeout covers a round trip between regions and an adapter load while many others are in progress.
const placeTimeout = 600 * time.Millisecond

// ForwardRouting implements routing.Forwarder.ForwardRouting.
func (c ControlClient) ForwardRouting(ctx context.Context, leader deck.VMName, body []byte) error {
	status, data, err := c.send(ctx, leader, routingPath, body)
	if err != nil {
		return err
	}
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusBadRequest:
		return errors.Mark(errors.Newf("%s", data), deck.ErrInvalidRouting)
	default:
		return errors.Newf("leader answered %d: %s", status, data)
	}
}

func (c ControlClient) post(ctx context.Context, to deck.VMName, path string, req, resp any) error {
	body, err := json.Marshal(req)
	if err != nil {
		return err
	}
	status, data, err := c.send(ctx, to, path, body)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return errors.Newf("unexpected status %d from %s: %s", status, path, data)
	}
	return errors.Wrapf(json.Unmarshal(data, resp), "decode response from %s", path)
}

func (c ControlClient) send(ctx context.Context, to deck.VMName, path string, body []byte) (int, []byte, error) {
	return exchangeAnyStatus(ctx, c.HTTP, http.MethodPost, "http://"+string(to)+path, body, maxControlResponseBytes)
}
