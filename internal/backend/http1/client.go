package http1

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

const maxIdlePerServer = 16 // kept connections to one backend server; more are closed after use

// A Request is a request as it is written to a backend server.
type Request struct {
	Method string
	Target string // request target as the caller sent it
	Host   string
	Header http.Header // end-to-end headers
	Body   []byte
	Length int64         // -1 if the caller sent the body in chunks, 0 for none
	Fresh  time.Duration // a kept connection may have been idle for this long at most; 0 for any time
}

// A SendError is why a request has no answer.
type SendError struct {
	Sent bool          // some of the request may have arrived
	Idle time.Duration // how long the connection had been idle before; 0 for a new one
	Err  error
}

// Error implements error.Error.
func (e *SendError) Error() string {
	if e.Sent {
		return "after the request was sent: " + e.Err.Error()
	}
	return "before the request was sent: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error {
	return e.Err
}

// A Client sends requests and keeps connections; Dial is required.
type Client struct {
	Dial        func(ctx context.Context, addr string) (net.Conn, error)
	DialTimeout time.Duration
	MaxIdle     time.Duration // kept connections are closed after this idle time

	mu    sync.Mutex
	idle  map[string][]*conn // by address, the longest idle first
	group errgroup.Group
}

// Do sends the request once and returns when the head of the answer is there. Its error is a *SendError.
func (c *Client) Do(ctx context.Context, addr string, r *Request) (*Exchange, error) {
	cn, reused, err := c.connect(ctx, addr, r.Fresh)
	if err != nil {
		return nil, &SendError{Err: err}
	}
	idle := time.Duration(0)
	if reused {
		idle = time.Since(cn.idleSince)
	}
	stop := context.AfterFunc(ctx, cn.close)
	e := &Exchange{client: c, addr: addr, conn: cn, stop: stop, Reused: reused, whole: true}
	if err := c.send(ctx, e, r); err != nil {
		stop()
		cn.close()
		return nil, &SendError{Sent: true, Idle: idle, Err: cause(ctx, err)}
	}
	return e, nil
}

// cause prefers the context's error to that of the connection which its end has closed.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

func (c *Client) send(ctx context.Context, e *Exchange, r *Request) error {
	head := &http.Request{Method: r.Method} // tells the reader whether the answer has a body
	e.conn.wanted <- head
	written := make(chan error, 1)
	data := r.encode()
	if len(data) <= smallRequest {
		_, err := e.conn.socket.Write(data)
		written <- err
	} else {
		c.group.Go(func() error {
			_, err := e.conn.socket.Write(data)
			written <- err
			return nil
		})
	}
	resp, err := e.conn.wait(ctx) //nolint:bodyclose // the exchange ends with its connection
	select {
	case werr := <-written:
		e.whole = werr == nil
		if err != nil && werr != nil {
			err = errors.CombineErrors(err, werr)
		}
	default:
		e.whole = false // the server answered early; the rest of the body must not meet another request
	}
	e.Response = resp
	return err
}

// smallRequest is how many bytes are written without a goroutine of their own; they fit into an empty socket buffer.
const smallRequest = 8 << 10

func (r *Request) encode() []byte {
	var b bytes.Buffer
	b.Grow(1024 + len(r.Body))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&b) // a buffer never fails
	switch {
	case r.Length < 0:
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		writeChunk(&b, r.Body)
		return b.Bytes()
	case r.Length > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch:
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

// connect returns a kept connection, or a new one.
func (c *Client) connect(ctx context.Context, addr string, fresh time.Duration) (cn *conn, reused bool, err error) {
	if cn := c.take(addr, fresh); cn != nil {
		return cn, true, nil
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

// take removes the most recently used connection that may still be used.
func (c *Client) take(addr string, fresh time.Duration) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	most := c.MaxIdle
	if fresh > 0 {
		most = min(most, fresh)
	}
	list := c.idle[addr]
	for len(list) > 0 {
		cn := list[len(list)-1]
		if !cn.isDead() && cn.idleLeft(now, most) <= 0 && cn.idleLeft(now, c.MaxIdle) > 0 {
			return nil // good for a request that may be repeated
		}
		list = list[:len(list)-1]
		c.idle[addr] = list
		if !cn.isDead() && cn.idleLeft(now, most) > 0 {
			return cn
		}
		cn.close()
	}
	delete(c.idle, addr)
	return nil
}

// keep puts a connection aside for other requests.
func (c *Client) keep(addr string, cn *conn, h http.Header) {
	cn.idleSince = time.Now()
	if k := keepAlive(h); k > 0 {
		cn.keepFor = k
	}
	cn.next <- struct{}{}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle == nil {
		c.idle = make(map[string][]*conn)
	}
	if len(c.idle[addr]) >= maxIdlePerServer {
		cn.close()
		return
	}
	c.idle[addr] = append(c.idle[addr], cn)
}

// CloseIdle closes kept connections whose idle time is over, and those to addresses for which wanted is false.
func (c *Client) CloseIdle(wanted func(addr string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for addr, list := range c.idle {
		keep := list[:0]
		for _, cn := range list {
			if wanted(addr) && !cn.isDead() && cn.idleLeft(now, c.MaxIdle) > 0 {
				keep = append(keep, cn)
			} else {
				cn.close()
			}
		}
		if len(keep) == 0 {
			delete(c.idle, addr)
		} else {
			c.idle[addr] = keep
		}
	}
}
