package peer

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/state/feed"
)

// Paths of the feed.
const (
	feedPath    = "/peer/feed"
	payloadPath = "/peer/feed/payload"
)

// Limits of the feed.
const (
	maxFeedBytes     = 64 << 20 // the whole state of 1,400 models and 600 engines is about 1 MB
	maxPayloadBytes  = feed.MaxPayloadBytes*4/3 + 4<<10
	feedWriteTimeout = 10 * time.Second // of a response to a VM that reads slowly
)

// RegisterFeed registers the handlers of GET /peer/feed, which answers polls, and of GET and POST /peer/feed/payload, which
// answer offers of payloads and store payloads.
func RegisterFeed(mux *http.ServeMux, store *feed.Store) {
	mux.HandleFunc("GET "+feedPath, func(w http.ResponseWriter, r *http.Request) {
		request, err := parseFeedQuery(r.URL.Query())
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		response := store.Serve(r.Context(), request)
		// If the writer does not support deadlines, the server's write timeout applies.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(feedWriteTimeout))
		writeJSON(w, encodeFeedResponse(response))
	})
	mux.HandleFunc("GET "+payloadPath, func(w http.ResponseWriter, r *http.Request) {
		epoch, sequence, name, err := parseQueryValue(r.URL.Query().Get("payload"))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		wanted := store.NeedsPayload(name, feed.PayloadVersion{Epoch: epoch, Sequence: sequence})
		writeJSON(w, mustMarshal(feedOfferResponse{Wanted: wanted}))
	})
	mux.HandleFunc("POST "+payloadPath, func(w http.ResponseWriter, r *http.Request) {
		var p feedPayload
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxPayloadBytes)).Decode(&p); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		store.Publish(p.payload())
		w.WriteHeader(http.StatusNoContent)
	})
}

// A FeedClient implements feed.Transport over HTTP.
type FeedClient struct {
	HTTP *http.Client
}

var _ feed.Transport = FeedClient{}

// Poll implements feed.Transport.Poll.
func (c FeedClient) Poll(ctx context.Context, source deck.Peer, r feed.Request) (feed.Response, error) {
	data, err := c.get(ctx, "http://"+source.Address+feedPath+"?"+feedQuery(r))
	if err != nil {
		return feed.Response{}, err
	}
	return decodeFeedResponse(data)
}

// Offer implements feed.Transport.Offer.
func (c FeedClient) Offer(ctx context.Context, to deck.Peer, name string, v feed.PayloadVersion) (bool, error) {
	q := url.Values{"payload": {formatQueryValue(v.Epoch, v.Sequence, name)}}
	data, err := c.get(ctx, "http://"+to.Address+payloadPath+"?"+q.Encode())
	if err != nil {
		return false, err
	}
	var resp feedOfferResponse
	err = json.Unmarshal(data, &resp)
	return resp.Wanted, errors.Wrap(err, "offer")
}

// Publish implements feed.Transport.Publish.
func (c FeedClient) Publish(ctx context.Context, to deck.Peer, p feed.Payload) error {
	body := mustMarshal(newFeedPayload(p))
	_, err := exchange(ctx, c.HTTP, http.MethodPost, "http://"+to.Address+payloadPath, body, http.StatusNoContent, 0)
	return err
}

func (c FeedClient) get(ctx context.Context, url string) ([]byte, error) {
	return exchange(ctx, c.HTTP, http.MethodGet, url, nil, http.StatusOK, maxFeedBytes)
}
