package engine

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/api/inbound"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	wire "github.com/geraniumdeck/geraniumdeck/internal/wire/engine"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/eventstream"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/notice"
)

// stallTimeout is four times the interval at which an engine sends keep-alive comments.
const stallTimeout = 4 * wire.KeepAliveInterval

// maxErrorBodyBytes is the number of bytes that are kept of the body of an engine's error response.
const maxErrorBodyBytes = 64 << 10

// errStalled is the cancellation cause of a request whose connection delivered no data within the stall timeout.
var errStalled = errors.New("no byte arrived within the stall timeout")

// A Client sends requests to one engine over pooled connections and implements deck.Engine.
type Client struct {
	address string
	pool    *pool
	bootID  atomic.Pointer[string] // the most recent boot ID in a response; nil before the first

	anonymous atomic.Bool   // the last response did not repeat the ID of its request
	requests  atomic.Uint64 // that got an ID of the client's

	leaving atomic.Pointer[string] // the boot ID with which the engine has said that it leaves; nil if it has not
	name    deck.BackendName       // of the engine, for notices
	memory  *inbound.Budget        // nil for no bound
	notices deck.NoticeObserver    // nil if nobody observes them
}

var _ deck.Engine = (*Client)(nil)

// New returns a client of the engine at address, which has the form host:port. A nil dial opens TCP connections.
func New(address string, clock deck.Clock, dial DialFunc) *Client {
	if dial == nil {
		dial = (&net.Dialer{KeepAlive: stallTimeout}).DialContext
	}
	return &Client{address: address, pool: &pool{dial: dial, clock: clock}}
}

// ReportNotices passes what the engine of the given name says about the requests that it takes to o. It must be called before the
// first request.
func (c *Client) ReportNotices(name deck.BackendName, o deck.NoticeObserver) {
	c.name, c.notices = name, o
}

// BoundMemory makes reports and cache events take room in b while they are read and decoded. It must be called before the first request.
func (c *Client) BoundMemory(b *inbound.Budget) {
	c.memory = b
}

// Close closes idle connections; running streams continue.
func (c *Client) Close() {
	c.pool.closeIdle()
}

// Generate implements deck.Engine.Generate. Its error is a *deck.EngineError or the context's error. Long events take space in the
// inbound.Room of the context.
func (c *Client) Generate(ctx context.Context, g deck.GenerationRequest) (deck.TokenStream, error) {
	streamCtx, cancel := context.WithCancelCause(ctx)
	stall := &stallTimer{cancel: cancel}
	var reused bool
	tracedCtx := httptrace.WithClientTrace(streamCtx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			reused = info.Reused
			stall.start(stallTimeout)
		},
	})
	req, err := c.newGenerateRequest(tracedCtx, g)
	if err != nil {
		cancel(nil)
		return nil, err
	}
	sentAt := c.pool.clock.Now()
	resp, err := c.transport(g.NewConn).RoundTrip(req)
	stall.stop()
	if err != nil {
		err = c.requestError(streamCtx, err, reused)
		cancel(nil)
		return nil, err
	}
	if err := c.checkIdentity(resp, string(g.ID), reused); err != nil {
		_ = resp.Body.Close()
		cancel(nil)
		return nil, err
	}
	bootID := c.recordResponse(resp, sentAt)
	if !isStream(resp) {
		err := responseError(resp, bootID)
		_ = resp.Body.Close()
		cancel(nil)
		return nil, err
	}
	body := &stallTimedBody{body: resp.Body, stallTimer: stall}
	return &stream{
		client:      c,
		ctx:         ctx,
		streamCtx:   streamCtx,
		cancel:      cancel,
		body:        body,
		eventReader: newEventReader(body, inbound.RoomOf(ctx)),
		bootID:      bootID,
		software:    deck.SoftwareVersion(resp.Header.Get(wire.HeaderSoftwareVersion)),
		unframed:    eventstream.EndsWithConnection(resp),
		nextOffset:  g.Offset,
	}, nil
}

func (c *Client) newGenerateRequest(ctx context.Context, g deck.GenerationRequest) (*http.Request, error) {
	if g.Path != wire.PathChatCompletions && g.Path != wire.PathCompletions {
		return nil, &deck.EngineError{Kind: deck.EngineRejected, Err: errors.Newf("unknown path %q", g.Path)}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(g.Path), bytes.NewReader(g.Body))
	if err != nil {
		return nil, &deck.EngineError{Kind: deck.EngineUnreachable, Err: err}
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Accept", "text/event-stream")
	req.Header.Set(wire.HeaderRequestID, string(g.ID))
	req.Header.Set(wire.HeaderPriority, strconv.Itoa(g.Priority))
	if g.Version != "" {
		req.Header.Set(wire.HeaderModelVersion, string(g.Version))
	}
	if g.Adapter != "" {
		req.Header.Set(wire.HeaderAdapter, string(g.Adapter))
	}
	if g.Offset > 0 {
		req.Header.Set(wire.HeaderLastEventID, strconv.Itoa(g.Offset-1))
	}
	return req, nil
}

func (c *Client) url(path string) string {
	return "http://" + c.address + path
}

// requestError returns the error of a request that got no response.
func (c *Client) requestError(ctx context.Context, err error, reused bool) error {
	// The boot ID of an earlier response may belong to a previous engine process, so the error carries none.
	e := classify(ctx, err, "")
	bootID := c.lastBootID()
	if e.Kind == deck.EngineStalled {
		c.pool.closeIdle()
	}
	if e.Kind == deck.EngineCrashed && reused && c.hasBootID(ctx, bootID) {
		e.Kind = deck.EngineConnClosed
	}
	if ctx.Err() != nil && e.Kind != deck.EngineStalled {
		return context.Cause(ctx)
	}
	return e
}

// hasBootID reports whether the engine responds and still has the boot ID. A server may close a pooled connection at any
// time, so a reset before the first byte on such a connection is not by itself a sign of a crash.
func (c *Client) hasBootID(ctx context.Context, bootID string) bool {
	var r wire.Report
	if err := c.getJSON(ctx, c.pool.unpooled(), wire.PathReport, maxReportBytes, &r); err != nil {
		return false
	}
	return bootID == "" || r.BootID == bootID
}

func (c *Client) lastBootID() string {
	if p := c.bootID.Load(); p != nil {
		return *p
	}
	return ""
}

// recordResponse records the boot ID and the notice of a response and returns the boot ID; it is empty if the response has none. sentAt
// is deck.ServerNotice.SentAt.
func (c *Client) recordResponse(resp *http.Response, sentAt time.Time) string {
	bootID := resp.Header.Get(wire.HeaderBootID)
	if bootID != "" {
		c.bootID.Store(&bootID)
	}
	n := notice.FromHeader(resp.StatusCode, resp.Header)
	n.SentAt = sentAt
	if n.Leaving {
		c.leaving.Store(&bootID)
	}
	if c.notices != nil {
		c.notices.ObserveNotice(c.pool.clock.Now(), c.name, bootID, n)
	}
	return bootID
}

func isStream(resp *http.Response) bool {
	return resp.StatusCode == http.StatusOK && eventstream.IsStream(resp.Header)
}

// responseError maps a response that is not a token stream to a *deck.EngineError.
func responseError(resp *http.Response, bootID string) error {
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
	e := &deck.EngineError{
		Kind:   deck.EngineFailed,
		Status: resp.StatusCode,
		Body:   body,
		BootID: bootID,
		Err:    errors.Newf("the engine answered %s", resp.Status),
	}
	switch {
	case isDraining(resp):
		e.Kind = deck.EngineDraining
	case resp.StatusCode == http.StatusNotFound:
		e.Kind = deck.EngineNotLoaded
	case isRejection(resp.StatusCode):
		e.Kind = deck.EngineRejected
	case notice.FromHeader(resp.StatusCode, resp.Header).Pause > 0:
		e.Kind = deck.EngineRefused
	}
	return e
}

func isDraining(resp *http.Response) bool {
	return resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(wire.HeaderDraining) == "true"
}

// isRejection reports whether the status means that the request itself is invalid, so that any other engine would refuse
// it as well.
func isRejection(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return true
	default:
		return false
	}
}

// A stallTimer cancels a request with errStalled when its connection delivers no data in time.
type stallTimer struct {
	cancel context.CancelCauseFunc
	timer  *time.Timer
}

func (t *stallTimer) start(d time.Duration) {
	if t.timer == nil {
		t.timer = time.AfterFunc(d, func() { t.cancel(errStalled) })
		return
	}
	t.timer.Reset(d)
}

func (t *stallTimer) stop() {
	if t.timer != nil {
		t.timer.Stop()
	}
}
