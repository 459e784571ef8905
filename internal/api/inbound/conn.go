package inbound

import (
	"bytes"
	"container/list"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// answerTimeout is the time in which a refused client must take the answer.
const answerTimeout = 100 * time.Millisecond

// Answers to heads that the server does not get to see.
const (
	headTooLargeAnswer = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	noHeadRoomAnswer   = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// A conn counts the bytes of the heads that are read from a connection.
type conn struct {
	net.Conn
	listener *Listener
	outside  atomic.Bool  // of a head: what is read belongs to a body
	writing  atomic.Int64 // when the write in progress began, in Unix nanoseconds; 0 without one
	closed   atomic.Bool  // by this package: what has arrived must not run

	headBytes int64 // of the current head
	idle      bool  // no byte of a further request has come
	headMu    sync.Mutex
	head      *Hold

	// Guarded by the listener's lock.
	state   state
	element *list.Element // nil if the connection has been evicted or closed
	body    *Hold         // unfinished
}

// Servers and handlers look for these methods of TCP connections.
var _ interface {
	net.Conn
	CloseWrite() error
	SetLinger(seconds int) error
} = (*conn)(nil)

type connKey struct{}

// connOf returns the connection of a request, or nil if it did not come through a Listener.
func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}

// readsBody says that a request's body is being read, until end is called.
func (c *conn) readsBody(h *Hold) (end func()) {
	if c == nil {
		return func() {}
	}
	c.listener.move(c, readingBody, h)
	return func() { c.listener.move(c, active, nil) }
}

// Read implements net.Conn.Read.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || c.outside.Load() {
		return n, err
	}
	if herr := c.countHead(p[:n]); herr != nil {
		return 0, herr
	}
	return n, err
}

// Write implements net.Conn.Write.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Store(time.Now().UnixNano())
	n, err := c.Conn.Write(p)
	c.writing.Store(0)
	return n, err
}

// countHead counts bytes of a head. If it must not go on, its client is answered and the error returned.
func (c *conn) countHead(p []byte) error {
	c.idle = false
	c.headBytes += int64(len(p))
	if c.headBytes > c.listener.maxHeadBytes() {
		return c.refuseHead(headTooLargeAnswer, errHeadTooLarge)
	}
	if !c.headHold().Grow(int64(len(p)) + lineBytes*int64(bytes.Count(p, []byte("\n")))) {
		return c.refuseHead(noHeadRoomAnswer, errNoHeadRoom)
	}
	return nil
}

// refuseHead answers a client whose head must not go on. The error is one that the server does not answer itself.
func (c *conn) refuseHead(answer string, err error) error {
	_ = c.SetWriteDeadline(time.Now().Add(answerTimeout))
	_, _ = io.WriteString(c.Conn, answer) // fails if the client has hung up or reads nothing
	return &net.OpError{Op: "read", Net: "tcp", Err: err}
}

// headHold returns the hold of the current head.
func (c *conn) headHold() *Hold {
	c.headMu.Lock()
	defer c.headMu.Unlock()
	if c.head == nil {
		c.head = c.listener.Budget.Open(Heads, c.abandon)
	}
	return c.head
}

// abandon closes the connection, which the server sees at its next read.
func (c *conn) abandon() {
	c.closed.Store(true)
	_ = c.Conn.Close()
}

// SetReadDeadline implements net.Conn.SetReadDeadline. The times that a deployment allows for heads and idle connections go before
// shorter ones of the server.
func (c *conn) SetReadDeadline(t time.Time) error {
	if now := time.Now(); !c.outside.Load() && t.After(now) {
		allowed := &c.listener.headTimeout
		if c.idle {
			allowed = &c.listener.idleTimeout
		}
		if d := now.Add(time.Duration(allowed.Load())); d.After(t) {
			t = d
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// endHead says that the current head has arrived. The server clears the deadline once it has read the whole request; it also reads the rest
// of a body that its handler has left.
func (c *conn) endHead() {
	c.outside.Store(true)
	_ = c.Conn.SetReadDeadline(time.Now().Add(bodyGrace)) // fails only if the connection is closed
	c.headMu.Lock()
	defer c.headMu.Unlock()
	c.head.Finish()
}

// startHead says that the next request may come; the last one is no longer used.
func (c *conn) startHead() {
	c.releaseHead()
	c.headBytes = 0
	c.idle = true
	c.outside.Store(false)
}

func (c *conn) releaseHead() {
	c.headMu.Lock()
	defer c.headMu.Unlock()
	c.head.Release()
	c.head = nil
}

// Close implements net.Conn.Close.
func (c *conn) Close() error {
	c.releaseHead()
	c.listener.forget(c)
	return c.Conn.Close()
}

// CloseWrite closes the connection for writing if its network allows it.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetLinger sets what closing the connection does with bytes that are not sent yet; see net.TCPConn.SetLinger.
func (c *conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}
