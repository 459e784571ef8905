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
	readBuffer = 4 << 10 // bytes; an event of a stream has some hundred

	// keepAliveMargin is how long before a backend server's own time-out an idle connection is given up, so that a request
	// does not cross the close on its way; it covers two regions' distance.
	keepAliveMargin = 500 * time.Millisecond
)

// A conn is one connection; its read loop sees an end of the connection also while it is idle.
type conn struct {
	socket net.Conn
	reader *bufio.Reader

	answers chan answer // one slot for each response asked for
	wanted  chan *http.Request
	next    chan struct{} // the last response's body was read to its end
	dead    chan struct{} // closed with the socket
	once    sync.Once

	idleSince time.Time
	keepFor   time.Duration // the server's own idle time-out; 0 if it did not say
}

type answer struct {
	resp *http.Response
	err  error
}

func newConn(socket net.Conn) *conn {
	return &conn{
		socket: socket, reader: bufio.NewReaderSize(socket, readBuffer),
		answers: make(chan answer, 1), wanted: make(chan *http.Request, 1), next: make(chan struct{}, 1),
		dead: make(chan struct{}),
	}
}

func (c *conn) close() {
	c.once.Do(func() {
		close(c.dead)
		_ = c.socket.Close()
	})
}

func (c *conn) isDead() bool {
	select {
	case <-c.dead:
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
			c.deliver(answer{err: err})
			return
		}
		var req *http.Request
		select {
		case req = <-c.wanted:
		default:
			return
		}
		resp, err := readResponse(c.reader, req) //nolint:bodyclose // handed over with the answer
		if !c.deliver(answer{resp, err}) || err != nil {
			return
		}
		select {
		case <-c.next:
		case <-c.dead:
			return
		}
	}
}

// deliver hands over an answer without waiting, since an idle connection has no reader.
func (c *conn) deliver(a answer) bool {
	select {
	case c.answers <- a:
		return true
	case <-c.dead:
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

// idleLeft returns how long the connection may still be used at the given time; it is not positive when it may not.
func (c *conn) idleLeft(now time.Time, most time.Duration) time.Duration {
	keep := most
	if c.keepFor > 0 {
		keep = min(keep, c.keepFor-keepAliveMargin)
	}
	return keep - now.Sub(c.idleSince)
}

// keepAlive returns the time-out of a Keep-Alive header; 0 if it has none.
func keepAlive(h http.Header) time.Duration {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		s, err := strconv.Atoi(strings.TrimSpace(value))
		if err == nil && s > 0 {
			return time.Duration(s) * time.Second
		}
	}
	return 0
}

// An Exchange is a request that was sent and its answer.
type Exchange struct {
	Response *http.Response
	Reused   bool // the connection had carried another request before

	client *Client
	addr   string
	conn   *conn
	stop   func() bool
	whole  bool // the request was sent whole before the answer came
}

// Skip discards an answer that belongs to an earlier request and waits for the next one; the connection is not kept.
func (e *Exchange) Skip(ctx context.Context, req *http.Request) error {
	e.whole = false
	if _, err := io.Copy(io.Discard, e.Response.Body); err != nil {
		return err
	}
	if e.Response.Close {
		return io.ErrUnexpectedEOF
	}
	e.conn.wanted <- req
	e.conn.next <- struct{}{}
	resp, err := e.conn.wait(ctx) //nolint:bodyclose // the exchange ends with its connection
	if err != nil {
		return err
	}
	e.Response = resp
	return nil
}

// Finish keeps the connection for other requests once the answer's body was read to its end.
func (e *Exchange) Finish() {
	if !e.stop() || !e.whole || e.Response.Close || e.conn.isDead() {
		e.conn.close()
		return
	}
	e.client.keep(e.addr, e.conn, e.Response.Header)
}

// Abort ends the connection, so that the backend server stops its work.
func (e *Exchange) Abort() {
	e.stop()
	e.conn.close()
}

func (c *conn) wait(ctx context.Context) (*http.Response, error) {
	select {
	case a := <-c.answers:
		return a.resp, a.err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-c.dead:
		select {
		case a := <-c.answers:
			return a.resp, a.err
		default:
			return nil, io.ErrUnexpectedEOF
		}
	}
}
