package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	readBufferBytes = 4 << 10 // bytes; an event of a stream has some hundred

	// keepAliveMargin is how long before a backend server's own time-out an idle connection is given up, so that a request
	// does not cross the close on its way; it covers two regions' distance.
	keepAliveMargin = 500 * time.Millisecond
)

// A conn is one connection; its read loop sees an end of the connection also while it is idle.
type conn struct {
	socket net.Conn
	reader *bufio.Reader

	responses chan result // one slot for each response asked for
	pending   chan *http.Request
	bodyDone  chan struct{} // the last response's body was read to its end
	closed    chan struct{} // closed with the socket
	closeOnce sync.Once

	idleSince         time.Time
	serverIdleTimeout time.Duration // the server's own idle time-out; 0 if it did not say
}

type result struct {
	resp *http.Response
	err  error
}

func newConn(socket net.Conn) *conn {
	return &conn{
		socket: socket, reader: bufio.NewReaderSize(socket, readBufferBytes),
		responses: make(chan result, 1), pending: make(chan *http.Request, 1), bodyDone: make(chan struct{}, 1),
		closed: make(chan struct{}),
	}
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

// readLoop reads responses until the connection ends. It waits for the first byte before it looks for a request, so that
// bytes without a request end the connection.
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
		resp, err := readResponse(c.reader, req) //nolint:bodyclose // handed over with the answer
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

// deliver hands over an answer without waiting, since an idle connection has no reader.
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

// readResponse reads a response and leaves out interim ones.
func readResponse(r *bufio.Reader, req *http.Request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(r, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
}

// remainingIdle returns how long the connection may still be used at the given time; it is not positive when it may not.
func (c *conn) remainingIdle(now time.Time, maxIdle time.Duration) time.Duration {
	limit := maxIdle
	if c.serverIdleTimeout > 0 {
		limit = min(limit, c.serverIdleTimeout-keepAliveMargin)
	}
	return limit - now.Sub(c.idleSince)
}

// keepAliveTimeout returns the time-out of a Keep-Alive header; 0 if it has none.
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

// An Exchange is a request that was sent and its answer.
type Exchange struct {
	Response *http.Response
	Reused   bool // the connection had carried another request before

	client   *Client
	addr     string
	conn     *conn
	stop     func() bool
	reusable bool // the request was sent whole before the answer came
}

// Skip discards an answer that belongs to an earlier request and waits for the next one; the connection is not kept.
func (e *Exchange) Skip(ctx context.Context, req *http.Request) error {
	e.reusable = false
	if _, err := io.Copy(io.Discard, e.Response.Body); err != nil {
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

// Finish keeps the connection for other requests once the answer's body was read to its end.
func (e *Exchange) Finish() {
	if !e.stop() || !e.reusable || e.Response.Close || e.conn.isClosed() {
		e.conn.close()
		return
	}
	e.client.putIdle(e.addr, e.conn, e.Response.Header)
}

// Abort ends the connection, so that the backend server stops its work.
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
