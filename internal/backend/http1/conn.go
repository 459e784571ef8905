package http1

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/wire/httpresponse"
)

const (
	readBufferBytes = 4 << 10 // an event of a stream has some hundred bytes

	// keepAliveMargin is how long before a backend server's own keep-alive timeout an idle connection is no longer used, so
	// that a request is not in transit when the server closes the connection; it covers the latency between two regions.
	keepAliveMargin = 500 * time.Millisecond

	// maxHeadBytes bounds the head of a response together with the interim responses before it, so that a backend server that
	// sends a head without end does not take this VM's memory.
	maxHeadBytes = 64 << 10

	// maxSkippedBytes bounds a response that is skipped, which is a copy of an earlier one.
	maxSkippedBytes = 8 << 20

	// headLineBytes is how many bytes a line of a head counts besides its own: what it takes when decoded and copied for the caller.
	headLineBytes = 256

	// freeHeadBytes of a head take no room in the memory for answers.
	freeHeadBytes = 16 << 10
)

var (
	errHeadTooLarge = errors.Newf("head of the response exceeds %d bytes", maxHeadBytes)
	errNoRoom       = errors.New("no memory for the head of the response beside other answers")

	errSkippedTooLarge = errors.Newf("response to another request exceeds %d bytes", maxSkippedBytes)
)

// A conn is one connection; its read loop detects that the server closed the connection even while it is idle.
type conn struct {
	socket *httpresponse.Conn
	limit  *headLimiter // between socket and reader
	reader *bufio.Reader

	responses chan result        // buffers the response to the request in flight
	pending   chan *http.Request // the request whose response is awaited
	bodyDone  chan struct{}      // signals that the body of the last response was read to its end
	closed    chan struct{}      // closed together with the socket
	closeOnce sync.Once

	ids               []uint64  // fingerprints of the IDs of the requests that it has carried; 0 for one without
	room              *headRoom // of the last request
	unidentified      bool      // the last request was Unidentified
	idleSince         time.Time
	serverIdleTimeout time.Duration // from the server's Keep-Alive header; 0 if it sent none
}

type result struct {
	resp *http.Response
	err  error
}

func newConn(c net.Conn) *conn {
	socket := httpresponse.NewConn(c)
	limit := &headLimiter{source: socket}
	return &conn{
		socket: socket, limit: limit, reader: bufio.NewReaderSize(limit, readBufferBytes),
		responses: make(chan result, 1), pending: make(chan *http.Request, 1), bodyDone: make(chan struct{}, 1),
		closed: make(chan struct{}),
	}
}

// hasCarried reports whether the connection has carried a request with the fingerprint of its ID; 0 stands for no ID.
func (c *conn) hasCarried(id uint64) bool {
	return id != 0 && slices.Contains(c.ids, id)
}

func (c *conn) close() {
	c.closeOnce.Do(func() {
		close(c.closed)
		_ = c.socket.Close()
	})
}

func (c *conn) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// readLoop reads responses until the connection ends. It waits for the first byte of a response before it checks for a
// pending request, so that unsolicited bytes close the connection.
func (c *conn) readLoop() {
	defer c.close()
	for {
		if _, err := c.reader.Peek(1); err != nil {
			c.deliver(result{err: err})
			return
		}
		var req *http.Request
		select {
		case req = <-c.pending:
		default:
			return
		}
		c.limit.start(maxHeadBytes, c.room)
		begin, _ := c.reader.Peek(c.reader.Buffered()) // never fails
		if !c.limit.count(begin) {
			c.deliver(result{err: errNoRoom})
			return
		}
		if err := c.socket.BeginResponse(begin); err != nil {
			c.deliver(result{err: err})
			return
		}
		resp, err := readResponse(c.reader, req) //nolint:bodyclose // the receiver of the result closes it
		c.limit.stop()
		if !c.deliver(result{resp, err}) || err != nil {
			return
		}
		select {
		case <-c.bodyDone:
		case <-c.closed:
			return
		}
	}
}

// A headLimiter passes bytes on from a connection, while a head is read no more than a given number, and only within the room that there
// is. It is used by one goroutine at a time: the read loop until the head is delivered, then the reader of the body.
type headLimiter struct {
	source  io.Reader
	limited bool
	left    int // bytes that may still be read while limited
	free    int // bytes that still take no room
	room    *headRoom
}

func (l *headLimiter) start(n int, room *headRoom) {
	l.limited, l.left, l.free, l.room = true, n, freeHeadBytes, room
}

func (l *headLimiter) stop() {
	l.limited = false
}

// Read implements io.Reader.Read.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.source.Read(p)
	}
	if l.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.source.Read(p[:min(len(p), l.left)])
	l.left -= n
	if !l.count(p[:n]) {
		return 0, errNoRoom
	}
	return n, err
}

// count takes the room for bytes of a head, which the beginning of a body may follow, and reports whether there was some.
func (l *headLimiter) count(p []byte) bool {
	if head, rest, ok := bytes.Cut(p, []byte("\r\n\r\n")); ok && !bytes.HasPrefix(rest, []byte("HTTP/")) {
		p = head
	}
	cost := len(p) + headLineBytes*bytes.Count(p, []byte("\n"))
	free := min(l.free, cost)
	l.free -= free
	return l.room.grow(cost - free)
}

// deliver passes a result on without blocking, since nothing receives from an idle connection; it reports whether the
// result was passed on.
func (c *conn) deliver(r result) bool {
	select {
	case c.responses <- r:
		return true
	case <-c.closed:
		return false
	default:
		return false
	}
}

// readResponse reads a response and skips interim ones (1xx).
func readResponse(r *bufio.Reader, req *http.Request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(r, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			httpresponse.CheckTrailer(resp)
			return resp, nil
		}
	}
}

// remainingIdle returns how much longer than now the connection may stay idle and still be used; zero or less means that
// it must not be used.
func (c *conn) remainingIdle(now time.Time, maxIdleTime time.Duration) time.Duration {
	limit := maxIdleTime
	if c.serverIdleTimeout > 0 {
		limit = min(limit, c.serverIdleTimeout-keepAliveMargin)
	}
	return limit - now.Sub(c.idleSince)
}

// keepAliveTimeout returns the timeout parameter of the Keep-Alive header; 0 if there is none.
func keepAliveTimeout(h http.Header) time.Duration {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err == nil && seconds > 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

// An Exchange is a request that was sent and the response to it.
type Exchange struct {
	Response *http.Response
	Reused   bool // the connection was taken from the pool
	Earlier  int  // requests that the connection had carried before

	client   *Client
	addr     string
	conn     *conn
	stop     func() bool // detaches the connection from the context
	reusable bool        // the request was written completely, so the connection may carry another one
}

// SkipResponse discards a response that belongs to an earlier request and waits for the next one, which replaces e.Response.
// The connection is not reused afterwards.
func (e *Exchange) SkipResponse(ctx context.Context, req *http.Request) error {
	e.reusable = false
	_, err := io.CopyN(io.Discard, e.Response.Body, maxSkippedBytes)
	if err == nil {
		return errSkippedTooLarge
	}
	if !errors.Is(err, io.EOF) {
		return err
	}
	if e.Response.Close {
		return io.ErrUnexpectedEOF
	}
	e.conn.pending <- req
	e.conn.bodyDone <- struct{}{}
	resp, err := e.conn.waitResponse(ctx) //nolint:bodyclose // the exchange ends with its connection
	if err != nil {
		return err
	}
	e.Response = resp
	return nil
}

// Release returns the connection to the pool if it can be reused, and closes it otherwise. The response body must have been
// read to its end; bytes after it belong to no request.
func (e *Exchange) Release() {
	if !e.stop() || !e.reusable || e.Response.Close || e.conn.isClosed() || e.conn.reader.Buffered() > 0 {
		e.conn.close()
		return
	}
	e.client.putIdle(e.addr, e.conn, e.Response.Header)
}

// Abort closes the connection, so that the backend server can stop its work on the request.
func (e *Exchange) Abort() {
	e.stop()
	e.conn.close()
}

func (c *conn) waitResponse(ctx context.Context) (*http.Response, error) {
	select {
	case r := <-c.responses:
		return r.resp, r.err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-c.closed:
		select {
		case r := <-c.responses:
			return r.resp, r.err
		default:
			return nil, io.ErrUnexpectedEOF
		}
	}
}
