package service

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/api/inbound"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/eventstream"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/httpresponse"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/notice"
)

// Limits of connections and responses.
const (
	dialTimeout      = 2 * time.Second
	maxResponseBytes = 8 << 20
	maxHeadBytes     = 16 << 10 // of a response

	// freeResponseBytes of a response take no room in the memory for answers.
	freeResponseBytes = 16 << 10
)

var (
	errTooLarge = errors.New("the answer exceeds 8 MiB")
	errNoRoom   = errors.New("no memory for the answer beside others")
)

// Headers of calls to plain services and of their responses.
const (
	HeaderCallKey = "Call-Key" // the caller's idempotency key
	HeaderNotRun  = "Not-Run"  // "true" on a 503 response if the service did not run the call
)

// A DialFunc opens a network connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// A Client calls plain services and implements deck.ServiceClient.
type Client struct {
	dial      DialFunc
	transport *httpresponse.Transport
}

var _ deck.ServiceClient = (*Client)(nil)

// New returns a client. A nil dial opens TCP connections.
func New(dial DialFunc) *Client {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	dial = withDialTimeout(dial)
	return &Client{
		dial: dial,
		// Answers don't name their calls, so on a connection that has carried other calls a copy of an earlier answer could be taken for
		// the one to the next call. net/http may also send a call again whose connection the instance had closed.
		transport: &httpresponse.Transport{Base: http.Transport{
			DialContext: dial, DisableCompression: true, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeadBytes,
		}},
	}
}

// withDialTimeout limits a dial to dialTimeout, because net/http lets a dial outlive the request's context.
func withDialTimeout(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		return dial(ctx, network, address)
	}
}

// HasEnded implements deck.ServiceClient.HasEnded.
func (c *Client) HasEnded(ctx context.Context, address string) bool {
	conn, err := c.dial(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close() // nothing was sent
	return false
}

// Call implements deck.ServiceClient.Call. The answer takes space in the inbound.Room of the context.
func (c *Client) Call(ctx context.Context, address string, call deck.ServiceCall) deck.ServiceAnswer {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := newRequest(ctx, address, call)
	if err != nil {
		return deck.ServiceAnswer{Outcome: deck.OutcomeNotRun, Reason: err.Error()}
	}
	// RoundTrip, unlike http.Client, does not follow redirects, which would send the call again.
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return deck.ServiceAnswer{
			Outcome: failureOutcome(connected.Load()), Reason: err.Error(), Interrupted: connected.Load() && isClosedByPeer(err),
		}
	}
	defer resp.Body.Close()
	answer := readResponse(resp, inbound.RoomOf(ctx))
	answer.Notice = notice.FromHeader(resp.StatusCode, resp.Header)
	return answer
}

// failureOutcome returns the outcome of a call without a response: without a connection nothing was sent.
func failureOutcome(connected bool) deck.Outcome {
	if connected {
		return deck.OutcomeUnknown
	}
	return deck.OutcomeNotRun
}

// isClosedByPeer reports whether the instance closed or reset the connection; a network partition shows as a timeout instead.
func isClosedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

func newRequest(ctx context.Context, address string, call deck.ServiceCall) (*http.Request, error) {
	u := url.URL{Scheme: "http", Host: address, Path: call.Path, RawQuery: call.Query}
	req, err := http.NewRequestWithContext(ctx, call.Method, u.String(), bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	for name, value := range call.Headers {
		req.Header.Set(name, value)
	}
	// net/http takes either of these headers as permission to retry the request.
	req.Header.Del("Idempotency-Key")
	req.Header.Del("X-Idempotency-Key")
	req.Header.Del(HeaderCallKey)
	if call.IdempotencyKey != "" {
		req.Header.Set(HeaderCallKey, call.IdempotencyKey)
	}
	return req, nil
}

// readResponse reads a response. If its body can't be read to the end, the outcome is unknown, since the call may have run.
func readResponse(resp *http.Response, room *inbound.Room) deck.ServiceAnswer {
	body, err := readBody(resp.Body, room)
	if isNotRun(resp) {
		return deck.ServiceAnswer{Outcome: deck.OutcomeNotRun, Reason: "the service refused: " + truncate(body)}
	}
	if err != nil {
		return deck.ServiceAnswer{Reason: errors.Wrap(err, "answer").Error(), Interrupted: isClosedByPeer(err)}
	}
	if eventstream.IsBrokenOff(resp.Header, body) {
		return deck.ServiceAnswer{Reason: "the answer ends within an event"}
	}
	headers := make(map[string]string, len(resp.Header))
	for name, values := range resp.Header {
		headers[name] = strings.Join(values, ", ")
	}
	return deck.ServiceAnswer{Outcome: deck.OutcomeDone, Status: resp.StatusCode, Headers: headers, Body: body}
}

// readBody reads a body within the room that there is. After an error it gives the room back.
func readBody(r io.Reader, room *inbound.Room) ([]byte, error) {
	body := make([]byte, 0, freeResponseBytes)
	taken := int64(0)
	fail := func(err error) ([]byte, error) {
		room.Shrink(taken)
		return body, err
	}
	for {
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > maxResponseBytes:
			return fail(errTooLarge)
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return fail(err)
		case len(body) < cap(body):
			continue
		}
		size := min(2*cap(body), maxResponseBytes+1)
		more := int64(min(size, maxResponseBytes)) - taken
		if !room.Grow(more) {
			return fail(errNoRoom)
		}
		taken += more
		body = append(make([]byte, 0, size), body...)
	}
}

func isNotRun(resp *http.Response) bool {
	return resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderNotRun) == "true"
}

func truncate(body []byte) string {
	const limit = 200
	return strings.ToValidUTF8(string(body[:min(len(body), limit)]), "")
}
