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
	status, data, err := exchangeAnyStatus(ctx, c, method, url, body, limit)
	if err != nil {
		return nil, err
	}
	if status != want {
		return nil, errors.Newf("peer answered %d to %s", status, url)
	}
	return data, nil
}

// exchangeAnyStatus is exchange for any status.
func exchangeAnyStatus(ctx context.Context, c *http.Client, method, url string, body []byte, limit int64) (int, []byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, errors.Wrap(err, "peer")
	}
	resp, err := c.Do(r)
	if err != nil {
		return 0, nil, errors.Wrap(err, "peer")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, limit))
	if err == nil && resp.Header.Get("Content-Encoding") == zstdEncoding {
		data, err = zstdDecoder.DecodeAll(data, nil)
	}
	return resp.StatusCode, data, errors.Wrap(err, "peer")
}
