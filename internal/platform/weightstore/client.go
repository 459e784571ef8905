package weightstore

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// maxBodyBytes bounds the response, which holds two numbers.
const maxBodyBytes = 4 << 10

// Client queries one weight store.
type Client struct {
	url  string
	http *http.Client
}

var _ deck.WeightStore = (*Client)(nil)

// New returns a client for the weight store at the base URL http://IP:port.
func New(base string, c *http.Client) *Client {
	return &Client{url: base + "/weight-store/load", http: c}
}

type statusResponse struct {
	InFlight *int `json:"in-flight"`
	Limit    *int `json:"limit"`
}

// Status implements deck.WeightStore; it returns the loads in flight and the limit on them.
func (c *Client) Status(ctx context.Context) (inFlight, limit int, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, http.NoBody)
	if err != nil {
		return 0, 0, errors.Wrap(err, "request weight store status")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, 0, errors.Wrap(err, "request weight store status")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, 0, errors.Newf("request weight store status: status %d", resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes+1)) // to the end, since a part may look whole
	if err != nil {
		return 0, 0, errors.Wrap(err, "read weight store status")
	}
	if len(data) > maxBodyBytes {
		return 0, 0, errors.Newf("weight store status exceeds %d bytes", maxBodyBytes)
	}
	var d statusResponse
	if err := json.Unmarshal(data, &d); err != nil {
		return 0, 0, errors.Wrap(err, "decode weight store status")
	}
	if d.InFlight == nil || d.Limit == nil || *d.InFlight < 0 || *d.Limit < 0 {
		return 0, 0, errors.New("decode weight store status: in-flight or limit is missing or negative")
	}
	return *d.InFlight, *d.Limit, nil
}
