package http1

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/api/inbound"
)

const (
	maxIdleConnsPerServer = 16 // idle connections kept to one backend server; further ones are closed after use

	// maxRequestsPerConn bounds what is kept of the requests that a connection has carried; it is closed after so many.
	maxRequestsPerConn = 256
)

// A Request is an HTTP request as it is written to a backend server.
type Request struct {
	Method        string
	Target        string // request target of the request line, as the caller sent it
	Host          string
	Header        http.Header // end-to-end headers
	Body          []byte
	ContentLength int64         // -1 sends the body chunked, 0 means no body
	MaxIdleTime   time.Duration // longest idle time of a pooled connection for the request; 0 for no limit but Client.IdleTimeout
	NewConn       bool          // sends the request on a new connection

	// ID is the identity that the response repeats; empty for none. The request isn't sent on a connection that has carried one with the
	// same ID, since nothing would tell a late copy of the earlier response from its own.
	ID string

	// Unidentified says that nothing in the response tells which request it answers. The request isn't sent on a connection whose last
	// request was such a one, since a late copy of that response could be taken for its own.
	Unidentified bool
}

// fingerprint returns the fingerprint of the request's ID; 0 if it has none.
func (r *Request) fingerprint() uint64 {
	if r.ID == "" {
		return 0
	}
	return xxhash.Sum64String(r.ID)
}

// A SendError is a failure to send a request or to receive the head of its response.
type SendError struct {
	MaybeSent bool          // part of the request may have reached the server
	IdleTime  time.Duration // how long the pooled connection had been idle; 0 for a new connection
	Err       error
}

// Error implements error.Error.
func (e *SendError) Error() string {
	if e.MaybeSent {
		return "after the request was sent: " + e.Err.Error()
	}
	return "before the request was sent: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error {
	return e.Err
}

// A Client sends requests over pooled connections; Dial is required.
type Client struct {
	Dial        func(ctx context.Context, addr string) (net.Conn, error)
	DialTimeout time.Duration
	IdleTimeout time.Duration // idle connections are closed after this time

	// Memory bounds the bytes of the heads of responses, beyond some kilobytes each; they are held until the context of their request
	// ends. Nil for no bound.
	Memory *inbound.Budget

	mu    sync.Mutex
	idle  map[string][]*conn // by address, least recently used first
	group errgroup.Group
}

// Do sends the request once and returns when the head of the response has been read. Its error is a *SendError.
func (c *Client) Do(ctx context.Context, addr string, r *Request) (*Exchange, error) {
	cn, reused, err := c.getConn(ctx, addr, r)
	if err != nil {
		return nil, &SendError{Err: err}
	}
	idle := time.Duration(0)
	if reused {
		idle = time.Since(cn.idleSince)
	}
	cn.unidentified = r.Unidentified
	cn.room = &headRoom{ctx: ctx, memory: c.Memory}
	stop := context.AfterFunc(ctx, cn.close)
	e := &Exchange{client: c, addr: addr, conn: cn, stop: stop, Reused: reused, Earlier: len(cn.ids), reusable: true}
	cn.ids = append(cn.ids, r.fingerprint())
	if err := c.send(ctx, e, r); err != nil {
		stop()
		cn.close()
		return nil, &SendError{MaybeSent: true, IdleTime: idle, Err: cause(ctx, err)}
	}
	return e, nil
}

// cause returns the context's error if the context has ended, since that closes the connection and causes err.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

func (c *Client) send(ctx context.Context, e *Exchange, r *Request) error {
	req := &http.Request{Method: r.Method} // the method determines whether the response has a body
	e.conn.pending <- req
	written := make(chan error, 1)
	data := r.encode()
	if len(data) <= maxInlineWriteBytes {
		_, err := e.conn.socket.Write(data)
		written <- err
	} else {
		c.group.Go(func() error {
			_, err := e.conn.socket.Write(data)
			written <- err
			return nil
		})
	}
	resp, err := e.conn.waitResponse(ctx) //nolint:bodyclose // the exchange ends with its connection
	select {
	case werr := <-written:
		e.reusable = werr == nil
		if err != nil && werr != nil {
			err = errors.CombineErrors(err, werr)
		}
	default:
		e.reusable = false // the server responded early; the rest of the body must not be read as another request
	}
	e.Response = resp
	return err
}

// maxInlineWriteBytes is the largest request that is written without a goroutine of its own; it fits into an empty socket
// buffer, so the write does not block.
const maxInlineWriteBytes = 8 << 10

func (r *Request) encode() []byte {
	var b bytes.Buffer
	b.Grow(1024 + len(r.Body))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&b) // a bytes.Buffer returns no error
	switch {
	case r.ContentLength < 0:
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		writeChunk(&b, r.Body)
		return b.Bytes()
	case r.ContentLength > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch:
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

func writeChunk(b *bytes.Buffer, body []byte) {
	if len(body) > 0 {
		b.WriteString(strconv.FormatInt(int64(len(body)), 16) + "\r\n")
		b.Write(body)
		b.WriteString("\r\n")
	}
	b.WriteString("0\r\n\r\n")
}

// getConn returns an idle connection that the request may use, or else dials a new one.
func (c *Client) getConn(ctx context.Context, addr string, r *Request) (cn *conn, reused bool, err error) {
	if !r.NewConn {
		if cn := c.takeIdle(addr, r); cn != nil {
			return cn, true, nil
		}
	}
	dctx, cancel := context.WithTimeout(ctx, c.DialTimeout)
	defer cancel()
	socket, err := c.Dial(dctx, addr)
	if err != nil {
		return nil, false, err
	}
	cn = newConn(socket)
	c.group.Go(func() error {
		cn.readLoop()
		return nil
	})
	return cn, false, nil
}

// takeIdle removes and returns the most recently used idle connection to the address that the request may use, or nil if there is
// none.
func (c *Client) takeIdle(addr string, r *Request) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	limit := c.IdleTimeout
	if r.MaxIdleTime > 0 {
		limit = min(limit, r.MaxIdleTime)
	}
	list := c.idle[addr]
	id := r.fingerprint()
	for i := len(list) - 1; i >= 0; i-- {
		cn := list[i]
		usable := !cn.isClosed() && cn.remainingIdle(now, c.IdleTimeout) > 0
		switch {
		case !usable:
			cn.close()
		case cn.remainingIdle(now, limit) <= 0:
			return nil // a request with a longer idle limit may still use it
		case r.Unidentified && cn.unidentified, cn.hasCarried(id):
			continue // other requests may still use it
		}
		list = slices.Delete(list, i, i+1)
		c.setIdle(addr, list)
		if usable {
			return cn
		}
	}
	return nil
}

// setIdle replaces the idle connections to the address. The caller holds c.mu.
func (c *Client) setIdle(addr string, list []*conn) {
	if len(list) == 0 {
		delete(c.idle, addr)
		return
	}
	c.idle[addr] = list
}

// putIdle returns a connection to the pool; h is the header of the response that was read on it.
func (c *Client) putIdle(addr string, cn *conn, h http.Header) {
	cn.idleSince = time.Now()
	if timeout := keepAliveTimeout(h); timeout > 0 {
		cn.serverIdleTimeout = timeout
	}
	cn.bodyDone <- struct{}{}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle == nil {
		c.idle = make(map[string][]*conn)
	}
	if len(c.idle[addr]) >= maxIdleConnsPerServer || len(cn.ids) >= maxRequestsPerConn {
		cn.close()
		return
	}
	c.idle[addr] = append(c.idle[addr], cn)
}

// CloseIdle closes idle connections that have exceeded their idle time, and those to addresses for which keepAddr returns
// false.
func (c *Client) CloseIdle(keepAddr func(addr string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for addr, list := range c.idle {
		kept := list[:0]
		for _, cn := range list {
			if keepAddr(addr) && !cn.isClosed() && cn.remainingIdle(now, c.IdleTimeout) > 0 {
				kept = append(kept, cn)
			} else {
				cn.close()
			}
		}
		c.setIdle(addr, kept)
	}
}
