package peer

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	recordOriginsPath = "/peer/stream-origins"
	findOriginsPath   = "/peer/stream-origin"

	maxOriginRecords     = 4096 // in one request
	maxOriginQuestions   = 512  // in one request
	maxOriginAnswerBytes = 4 << 20
)

type recordOriginsJSON struct {
	Origins []originRecordsJSON `json:"origins"`
}

// An originRecordsJSON holds the records of streams with one origin.
type originRecordsJSON struct {
	originJSON
	Streams []uint64 `json:"streams"`
	KeepMs  []int64  `json:"keep-ms"` // of each stream
}

type originJSON struct {
	Service  string `json:"service"`
	Software string `json:"software"`
}

type recordedOriginsJSON struct {
	Process uint64 `json:"process"`
}

type findOriginsJSON struct {
	Streams []uint64 `json:"streams"`
}

type foundOriginsJSON struct {
	Recent  []originJSON  `json:"recent"`
	Found   []*originJSON `json:"found"` // null if the stream is unknown
	Partial bool          `json:"partial,omitempty"`
}

// RegisterStreamOrigins registers the handlers of POST /peer/stream-origins, which records, and POST /peer/stream-origin, which finds.
func RegisterStreamOrigins(mux *http.ServeMux, ledger deck.OriginLedger) {
	process := rand.Uint64()
	mux.HandleFunc("POST "+recordOriginsPath, func(w http.ResponseWriter, r *http.Request) {
		var req recordOriginsJSON
		if !readJSON(w, r, &req) {
			return
		}
		records, err := req.toDeck()
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		switch err := ledger.RecordOrigins(r.Context(), records); {
		case errors.Is(err, deck.ErrInvalidRecords):
			http.Error(w, err.Error(), http.StatusBadRequest)
		case err != nil:
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		default:
			writeJSON(w, mustMarshal(recordedOriginsJSON{Process: process}))
		}
	})
	mux.HandleFunc("POST "+findOriginsPath, func(w http.ResponseWriter, r *http.Request) {
		var req findOriginsJSON
		if !readJSON(w, r, &req) {
			return
		}
		if len(req.Streams) == 0 || len(req.Streams) > maxOriginQuestions {
			http.Error(w, "no streams or too many", http.StatusBadRequest)
			return
		}
		resp, err := findOrigins(r.Context(), ledger, req.Streams)
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		writeJSON(w, mustMarshal(resp))
	})
}

func findOrigins(ctx context.Context, ledger deck.OriginLedger, streams []uint64) (foundOriginsJSON, error) {
	var resp foundOriginsJSON
	for i, s := range streams {
		a, err := ledger.FindOrigin(ctx, deck.StreamKey(s))
		if err != nil {
			return foundOriginsJSON{}, err
		}
		var found *originJSON
		if a.Known {
			found = &originJSON{string(a.Origin.Service), string(a.Origin.Software)}
		}
		resp.Found = append(resp.Found, found)
		if i < len(streams)-1 {
			continue
		}
		resp.Partial = a.Partial
		for _, o := range a.Recent {
			resp.Recent = append(resp.Recent, originJSON{string(o.Service), string(o.Software)})
		}
	}
	return resp, nil
}

// toDeck returns the records; times that are out of range are left to the ledger.
func (r recordOriginsJSON) toDeck() ([]deck.StreamRecord, error) {
	var out []deck.StreamRecord
	for _, group := range r.Origins {
		if len(group.Streams) != len(group.KeepMs) {
			return nil, errors.Newf("%d streams have %d times", len(group.Streams), len(group.KeepMs))
		}
		if len(out)+len(group.Streams) > maxOriginRecords {
			return nil, errors.Newf("more than %d records", maxOriginRecords)
		}
		for i, s := range group.Streams {
			out = append(out, deck.StreamRecord{Stream: deck.StreamKey(s), Origin: group.toDeck(), Keep: keepFromMs(group.KeepMs[i])})
		}
	}
	return out, nil
}

func recordOriginsFromDeck(records []deck.StreamRecord) recordOriginsJSON {
	var out recordOriginsJSON
	groups := make(map[deck.StreamOrigin]int)
	for _, r := range records {
		i, ok := groups[r.Origin]
		if !ok {
			i = len(out.Origins)
			groups[r.Origin] = i
			out.Origins = append(out.Origins, originRecordsJSON{originJSON: originJSON{string(r.Origin.Service), string(r.Origin.Software)}})
		}
		g := &out.Origins[i]
		g.Streams, g.KeepMs = append(g.Streams, uint64(r.Stream)), append(g.KeepMs, r.Keep.Milliseconds())
	}
	return out
}

func (o originJSON) toDeck() deck.StreamOrigin {
	return deck.StreamOrigin{Service: deck.ServiceName(o.Service), Software: deck.SoftwareVersion(o.Software)}
}

// keepFromMs returns a time of at most a day, which is longer than any stream is kept.
func keepFromMs(ms int64) time.Duration {
	const day = 24 * time.Hour
	return time.Duration(min(max(0, ms), day.Milliseconds())) * time.Millisecond
}

// An OriginClient reaches the ledgers of control VMs.
type OriginClient struct {
	HTTP *http.Client
}

var _ deck.OriginClient = OriginClient{}

// SendOrigins implements deck.OriginClient.SendOrigins.
func (c OriginClient) SendOrigins(ctx context.Context, to deck.VMName, records []deck.StreamRecord) (uint64, error) {
	var resp recordedOriginsJSON
	err := c.post(ctx, to, recordOriginsPath, recordOriginsFromDeck(records), &resp)
	return resp.Process, err
}

// AskOrigins implements deck.OriginClient.AskOrigins.
func (c OriginClient) AskOrigins(ctx context.Context, to deck.VMName, streams []deck.StreamKey) ([]deck.OriginAnswer, error) {
	var req findOriginsJSON
	for _, s := range streams {
		req.Streams = append(req.Streams, uint64(s))
	}
	var resp foundOriginsJSON
	if err := c.post(ctx, to, findOriginsPath, req, &resp); err != nil {
		return nil, err
	}
	if len(resp.Found) != len(streams) {
		return nil, errors.Newf("%d answers about %d streams", len(resp.Found), len(streams))
	}
	var recent []deck.StreamOrigin
	for _, o := range resp.Recent {
		recent = append(recent, o.toDeck())
	}
	answers := make([]deck.OriginAnswer, len(streams))
	for i, o := range resp.Found {
		answers[i].Recent, answers[i].Partial = recent, resp.Partial
		if o != nil {
			answers[i].Known, answers[i].Origin = true, o.toDeck()
		}
	}
	return answers, nil
}

func (c OriginClient) post(ctx context.Context, to deck.VMName, path string, req, resp any) error {
	status, data, err := exchangeAnyStatus(
		ctx, c.HTTP, http.MethodPost, "http://"+string(to)+path, mustMarshal(req), maxOriginAnswerBytes,
	)
	switch {
	case err != nil:
		return err
	case status == http.StatusBadRequest:
		return errors.Mark(errors.Newf("%s refused: %s", path, data), deck.ErrInvalidRecords)
	case status != http.StatusOK:
		return errors.Newf("unexpected status %d from %s: %s", status, path, data)
	}
	return errors.Wrapf(json.Unmarshal(data, resp), "decode response from %s", path)
}
