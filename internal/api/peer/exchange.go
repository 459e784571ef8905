package peer

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// exchange sends a request to another VM and returns at most limit bytes of the answer; a status other than want is an
// error.
func exchange(ctx context.Context, c *http.Client, method, url string, body []byte, want int, limit int64) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "peer")
	}
	resp, err := c.Do(r)
	if err != nil {
		return nil, errors.Wrap(err, "peer")
	}
	defer resp.Body.Close()
	if resp.StatusCode != want {
		return nil, errors.Newf("peer answered %s to %s", resp.Status, r.URL.Path)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, limit))
	return data, errors.Wrap(err, "peer")
}
