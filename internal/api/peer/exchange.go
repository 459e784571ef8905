package peer

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// exchange sends a request to another VM and returns at most maxBytes of the response body. A status other than wantStatus
// is an error.
func exchange(
	ctx context.Context, client *http.Client, method, url string, body []byte, wantStatus int, maxBytes int64,
) ([]byte, error) {
	status, data, err := exchangeAnyStatus(ctx, client, method, url, body, maxBytes)
	if err != nil {
		return nil, err
	}
	if status != wantStatus {
		return nil, errors.Newf("unexpected status %d from %s", status, url)
	}
	return data, nil
}

// exchangeAnyStatus sends a request to another VM and returns the status and at most maxBytes of the response body.
func exchangeAnyStatus(
	ctx context.Context, client *http.Client, method, url string, body []byte, maxBytes int64,
) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, errors.Wrap(err, "peer")
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, errors.Wrap(err, "peer")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBytes))
	if err == nil && resp.Header.Get("Content-Encoding") == zstdEncoding {
		data, err = zstdDecoder.DecodeAll(data, nil)
	}
	return resp.StatusCode, data, errors.Wrap(err, "peer")
}
