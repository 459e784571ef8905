package vmlist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/jsonlist"
)

// maxBodyBytes bounds the list, which takes about 60 bytes for each of up to 340 VMs and 600 backend servers; other writers' entries may be
// larger.
const maxBodyBytes = 32 << 20

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

// A vmRow is an entry of the list.
type vmRow struct {
	VM      string `json:"vm"`
	Leaving bool   `json:"leaving"`
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
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read VM list")
	}
	if len(data) > maxBodyBytes {
		return nil, errors.Newf("VM list exceeds %d bytes", maxBodyBytes)
	}
	list, err := jsonlist.Decode(data, "vms", decodeRow)
	return list.Entries, errors.Wrap(err, "decode VM list")
}

// decodeRow decodes an entry; those of another form, which other writers may have left, are skipped.
func decodeRow(entry []byte) (deck.VMStatus, bool) {
	var row vmRow
	err := json.Unmarshal(entry, &row)
	return deck.VMStatus{VM: row.VM, Leaving: row.Leaving}, err == nil && row.VM != ""
}
