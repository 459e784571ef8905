package httpresponse

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

var errUnsolicited = errors.New("the response came before its request")

// A Transport sends requests over connections of net/http that are Conns. Its zero value is ready to use.
type Transport struct {
	Base http.Transport // keeps the connections; it must be set before the first request, and sends none itself

	once sync.Once
}

var _ http.RoundTripper = (*Transport)(nil)

// CloseIdleConnections closes the connections that carry no request.
func (t *Transport) CloseIdleConnections() {
	t.Base.CloseIdleConnections()
}

// RoundTrip implements http.RoundTripper.RoundTrip. Its error is ErrMalformed for a malformed head.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	t.once.Do(t.init)
	var conn atomic.Pointer[Conn] // net/http may take a second one if the first was closed while it was idle
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*Conn); ok {
			_ = c.BeginResponse(nil) // fails only for bytes that were read before
			conn.Store(c)
		}
	}})
	resp, err := t.Base.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if c := conn.Load(); c == nil || !c.HasHead() {
		_ = resp.Body.Close()
		return nil, errUnsolicited
	}
	CheckTrailer(resp)
	return resp, nil
}

func (t *Transport) init() {
	dial := t.Base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.Base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		conn := NewConn(c)
		conn.readFirst = true // net/http gives an early response up once a write fails
		return conn, nil
	}
}
