package peer

import (
	"encoding/json"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/state/feed"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/ticket"
)

type feedResponse struct {
	Version        uint64          `json:"version"`
	Proven         bool            `json:"proven,omitempty"`
	ProofAgeMS     int64           `json:"proof-age-ms,omitempty"`
	HeldMS         int64           `json:"held-ms,omitempty"`
	Deltas         []feedDelta     `json:"deltas,omitempty"`
	State          json.RawMessage `json:"state,omitempty"`
	Payloads       []feedPayload   `json:"payloads,omitempty"`
	PayloadsDiffer bool            `json:"differ,omitempty"`
}

type feedDelta struct {
	Previous uint64          `json:"previous"`
	Version  uint64          `json:"version"`
	Ticket   ticket.Document `json:"ticket"`
}

type feedPayload struct {
	Name       string `json:"name"`
	DataCentre string `json:"data-centre,omitempty"`
	Epoch      uint64 `json:"epoch,omitempty"`
	Sequence   uint64 `json:"sequence,omitempty"`
	Data       []byte `json:"data,omitempty"`
}

type feedOfferResponse struct {
	Wanted bool `json:"wanted"`
}

// feedQuery returns the URL query of a request. In a value of several parts the name is last, as it may contain the
// separator.
func feedQuery(r feed.Request) string {
	q := url.Values{
		"vm":          {string(r.VM)},
		"data-centre": {string(r.DataCentre)},
		"after":       {strconv.FormatUint(r.After, 10)},
		"wait":        {r.Wait.String()},
	}
	if r.Digest != 0 {
		q.Set("digest", strconv.FormatUint(r.Digest, 16))
	}
	for name, v := range r.Payloads {
		q.Add("payload", formatQueryValue(v.Epoch, v.Sequence, name))
	}
	for _, c := range r.Confirmed {
		q.Add("confirmed", formatQueryValue(c.Version, uint64(max(c.Age.Milliseconds(), 0)), string(c.VM)))
	}
	return q.Encode()
}

func parseFeedQuery(q url.Values) (feed.Request, error) {
	r := feed.Request{VM: deck.VMName(q.Get("vm")), DataCentre: deck.DataCentre(q.Get("data-centre"))}
	var err error
	if r.After, err = strconv.ParseUint(q.Get("after"), 10, 64); err != nil {
		return r, errors.Wrap(err, "after")
	}
	if r.Wait, err = time.ParseDuration(q.Get("wait")); err != nil {
		return r, errors.Wrap(err, "wait")
	}
	if d := q.Get("digest"); d != "" {
		if r.Digest, err = strconv.ParseUint(d, 16, 64); err != nil {
			return r, errors.Wrap(err, "digest")
		}
	}
	r.Payloads = make(map[string]feed.PayloadVersion)
	for _, value := range q["payload"] {
		epoch, sequence, name, err := parseQueryValue(value)
		if err != nil {
			return r, err
		}
		r.Payloads[name] = feed.PayloadVersion{Epoch: epoch, Sequence: sequence}
	}
	for _, value := range q["confirmed"] {
		version, age, vm, err := parseQueryValue(value)
		if err != nil {
			return r, err
		}
		r.Confirmed = append(r.Confirmed, feed.Confirmation{
			VM: deck.VMName(vm), Version: version, Age: time.Duration(min(age, maxAgeMS)) * time.Millisecond,
		})
	}
	return r, nil
}

// maxAgeMS limits ages in milliseconds, so that their conversion to a time.Duration does not overflow.
const maxAgeMS = 1 << 40

func formatQueryValue(a, b uint64, name string) string {
	return strconv.FormatUint(a, 10) + "~" + strconv.FormatUint(b, 10) + "~" + name
}

func parseQueryValue(value string) (a, b uint64, name string, err error) {
	parts := strings.SplitN(value, "~", 3)
	if len(parts) != 3 {
		return 0, 0, "", errors.Newf("value %q", value)
	}
	if a, err = strconv.ParseUint(parts[0], 10, 64); err != nil {
		return 0, 0, "", err
	}
	b, err = strconv.ParseUint(parts[1], 10, 64)
	return a, b, parts[2], err
}

func encodeFeedResponse(resp feed.Response) []byte {
	w := feedResponse{
		Version: resp.Version, Proven: resp.Proven,
		ProofAgeMS: ceilMS(resp.ProofAge), HeldMS: resp.HoldTime.Milliseconds(), PayloadsDiffer: resp.PayloadsDiffer,
	}
	for _, d := range resp.Deltas {
		w.Deltas = append(w.Deltas, feedDelta{d.Previous, d.Version, ticket.NewDocument(d.Ticket)})
	}
	if resp.State != nil {
		w.State = ticket.EncodeState(*resp.State)
	}
	for _, p := range resp.Payloads {
		w.Payloads = append(w.Payloads, newFeedPayload(p))
	}
	return mustMarshal(w)
}

// ceilMS returns the duration in milliseconds, rounded up so that a proof never appears younger than it is.
func ceilMS(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

func decodeFeedResponse(data []byte) (feed.Response, error) {
	var w feedResponse
	if err := json.Unmarshal(data, &w); err != nil {
		return feed.Response{}, errors.Wrap(err, "decode feed response")
	}
	resp := feed.Response{
		Version: w.Version, Proven: w.Proven, PayloadsDiffer: w.PayloadsDiffer,
		ProofAge: time.Duration(w.ProofAgeMS) * time.Millisecond, HoldTime: time.Duration(w.HeldMS) * time.Millisecond,
	}
	for _, d := range w.Deltas {
		t, err := d.Ticket.Ticket()
		if err != nil {
			return resp, err
		}
		resp.Deltas = append(resp.Deltas, feed.Delta{Previous: d.Previous, Version: d.Version, Ticket: t})
	}
	if len(w.State) > 0 {
		s, err := ticket.DecodeState(w.State)
		if err != nil {
			return resp, err
		}
		resp.State = &s
	}
	for _, p := range w.Payloads {
		resp.Payloads = append(resp.Payloads, p.payload())
	}
	return resp, nil
}

func newFeedPayload(p feed.Payload) feedPayload {
	return feedPayload{p.Name, string(p.DataCentre), p.Version.Epoch, p.Version.Sequence, p.Data}
}

func (p feedPayload) payload() feed.Payload {
	return feed.Payload{
		Name: p.Name, DataCentre: deck.DataCentre(p.DataCentre),
		Version: feed.PayloadVersion{Epoch: p.Epoch, Sequence: p.Sequence}, Data: p.Data,
	}
}
