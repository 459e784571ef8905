package vmlist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// maxBodyBytes bounds the list, which takes about 60 bytes for each of up to 340 VMs and 600 backend servers.
const maxBodyBytes = 1 << 20

// Client reads the VM list from one platform address.
type Client struct {
	url  string
	http *http.Client
}

var _ deck.VMList = (*Client)(nil)

// New returns a client for the platform at the base URL http://IP:port.
func New(base string, c *http.Client) *Client {
	return &Client{url: base + "/platform/vms", http: c}
}

type listResponse struct {
	VMs []struct {
		VM      string `json:"vm"`
		Leaving bool   `json:"leaving"`
	} `json:"vms"`
}

// List implements deck.VMList.
func (c *Client) List(ctx context.Context) ([]deck.VMStatus, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, http.NoBody)
	if err != nil {
		return nil, errors.Wrap(err, "request VM list")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "request VM list")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("request VM list: status %d", resp.StatusCode)
	}
	var d listResponse
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxBodyBytes)).Decode(&d); err != nil {
		return nil, errors.Wrap(err, "decode VM list")
	}
	out := make([]deck.VMStatus, 0, len(d.VMs))
	for _, v := range d.VMs {
		out = append(out, deck.VMStatus{VM: v.VM, Leaving: v.Leaving})
	}
	return out, nil
}
