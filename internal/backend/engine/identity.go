package engine

import (
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	wire "github.com/geraniumdeck/geraniumdeck/internal/wire/engine"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/httpresponse"
)

// errUnidentified means that a response on a reused connection may be a copy of an earlier one.
var errUnidentified = errors.New("the response on a reused connection does not repeat the ID of the request")

// transport returns the transport of the next request. Connections to an engine that does not repeat the IDs of requests are not reused,
// since nothing would tell the response to a request from a copy of an earlier one.
func (c *Client) transport(unpooled bool) *httpresponse.Transport {
	if unpooled || c.anonymous.Load() {
		return c.pool.unpooled()
	}
	return c.pool.pooled()
}

// checkIdentity returns an error if the response is not known to be the one to the request with the ID. That one may still be due on the
// connection, which net/http has returned to the pool if the response had no body.
func (c *Client) checkIdentity(resp *http.Response, id string, reused bool) error {
	identified := resp.Header.Get(wire.HeaderRequestID) == id
	c.anonymous.Store(!identified)
	if identified || !reused {
		return nil
	}
	c.pool.closeIdle()
	return &deck.EngineError{Kind: deck.EngineConnClosed, Err: errUnidentified}
}

// nextID returns an ID for a request that has none of its own.
func (c *Client) nextID() string {
	return "call-" + strconv.FormatUint(c.requests.Add(1), 10)
}
