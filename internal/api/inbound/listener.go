package inbound

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	defaultHeadBytes = 64 << 10

	// headSlack is what a head may have beyond its limit: what callers don't count, and what is read ahead of a body.
	headSlack = 8 << 10

	// lineBytes is what a header line takes when it is decoded, beyond its bytes.
	lineBytes = 128
)

// A state is what a connection waits for.
type state int

const (
	headless    state = iota // the first request's head
	idle                     // a further request's head
	readingBody              // the rest of a body
	active                   // an answer
	leaving                  // its end, after it had to make room
	states
)

// evictable lists the states in which a connection may have to make room for a new one, in their order.
var evictable = []state{headless, idle, readingBody}

// A Listener bounds the connections that a server accepts, and the heads on them. When there are too many connections, the one that
// has waited longest is closed: one without any request first, then an idle one, then one whose body is unfinished, then one whose
// client does not take its answer.
type Listener struct {
	net.Listener
	Budget         *Budget
	MaxConnections int // 0 for no bound

	headLimit   atomic.Int64
	headTimeout atomic.Int64 // nanoseconds
	idleTimeout atomic.Int64 // nanoseconds

	mu      sync.Mutex
	conns   [states]list.List // of *conn, the one that has waited longest first
	evicted int64             // connections closed for others, since the start
	refused int64             // connections that were not accepted, since the start
}

// Guard makes a server's connections come through a new Listener, which bounds them, and returns it.
func Guard(l net.Listener, srv *http.Server, b *Budget, maxConnections int) *Listener {
	out := &Listener{Listener: l, Budget: b, MaxConnections: maxConnections}
	srv.ConnState = out.setState
	srv.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	return out
}

// SetLimits sets the bytes that the head of a request may have, the time in which it must arrive, and how long a connection may be idle;
// 0 sets a default. Times below the server's have no effect. It does nothing without a listener.
func (l *Listener) SetLimits(headBytes int, headTimeout, idleTimeout time.Duration) {
	if l != nil {
		l.headLimit.Store(int64(headBytes))
		l.headTimeout.Store(int64(headTimeout))
		l.idleTimeout.Store(int64(idleTimeout))
	}
}

func (l *Listener) maxHeadBytes() int64 {
	if n := l.headLimit.Load(); n > 0 {
		return n + headSlack
	}
	return defaultHeadBytes + headSlack
}

// Accept implements net.Listener.Accept.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if out := l.admit(c); out != nil {
			return out, nil
		}
		_ = c.Close() // refused
	}
}

// admit returns the connection to serve, or nil if there is no room for it.
func (l *Listener) admit(c net.Conn) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.hasRoom() {
		l.refused++
		return nil
	}
	out := &conn{Conn: c, listener: l}
	out.element = l.conns[headless].PushBack(out)
	return out
}

// leavingShare is the part of the connections that may be open besides while they are being answered that they had to make room.
const leavingShare = 0.1

// leavingTimeout is the time in which their clients must take that answer.
const leavingTimeout = time.Second

// hasRoom reports whether one more connection may be open, for which another may have to close. The caller holds the lock.
func (l *Listener) hasRoom() bool {
	if l.MaxConnections == 0 {
		return true
	}
	all, gone := l.count(), l.conns[leaving].Len()
	if gone > int(leavingShare*float64(l.MaxConnections)) {
		return all < l.MaxConnections
	}
	return all-gone < l.MaxConnections || l.evictOldest()
}

func (l *Listener) count() int {
	n := 0
	for i := range l.conns {
		n += l.conns[i].Len()
	}
	return n
}

// evictOldest closes a connection to make room for another, if there is one that may be closed.
func (l *Listener) evictOldest() bool {
	for _, s := range evictable {
		for e := l.conns[s].Front(); e != nil; e = e.Next() {
			if c, _ := e.Value.(*conn); l.evict(c) {
				l.evicted++
				return true
			}
		}
	}
	return l.evictUnread()
}

// evict closes a connection, and reports false if its body has just arrived as a whole. The caller holds the lock.
func (l *Listener) evict(c *conn) bool {
	if c.state != readingBody {
		l.remove(c)
		c.abandon()
		return true
	}
	if !c.body.End() { // its caller gets an answer
		return false
	}
	l.remove(c)
	c.state = leaving
	c.element = l.conns[leaving].PushBack(c)
	_ = c.SetWriteDeadline(time.Now().Add(leavingTimeout))
	return true
}

// unreadTime is how long a client must have taken nothing of its answer before its connection may be closed for another.
const unreadTime = 10 * time.Second

// EvictUnread closes the connection whose client has left its answer unread for longest, and reports whether there was one. It does
// nothing without a listener.
func (l *Listener) EvictUnread() bool {
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.evictUnread()
}

// evictUnread closes the connection whose client has left its answer unread for longest. The caller holds the lock.
func (l *Listener) evictUnread() bool {
	var oldest *conn
	since := time.Now().Add(-unreadTime).UnixNano()
	for e := l.conns[active].Front(); e != nil; e = e.Next() {
		c, _ := e.Value.(*conn)
		if start := c.writing.Load(); start != 0 && start < since {
			oldest, since = c, start
		}
	}
	if oldest == nil {
		return false
	}
	l.remove(oldest)
	l.evicted++
	_ = oldest.Conn.Close()
	return true
}

// remove takes a connection out of its list. The caller holds the lock.
func (l *Listener) remove(c *conn) {
	if c.element != nil {
		l.conns[c.state].Remove(c.element)
		c.element = nil
	}
}

// forget takes a closed connection out of its list.
func (l *Listener) forget(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.remove(c)
}

// move sets the state of a connection that is still listed.
func (l *Listener) move(c *conn, s state, body *Hold) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.body = body
	if c.element == nil || c.state == leaving {
		return
	}
	l.remove(c)
	c.state = s
	c.element = l.conns[s].PushBack(c)
}

// setState follows the states of a connection that its server reports.
func (l *Listener) setState(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch s {
	case http.StateActive:
		l.move(c, active, nil)
		c.endHead()
	case http.StateIdle:
		c.startHead()
		l.move(c, idle, nil)
	}
}

// Connections tells what the connections of a listener do.
type Connections struct {
	Headless, Idle, ReadingBody, Active, Leaving int

	Evicted, Refused int64 // since the start
}

// Connections returns the number of connections by what they do.
func (l *Listener) Connections() Connections {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Connections{
		Headless: l.conns[headless].Len(), Idle: l.conns[idle].Len(), ReadingBody: l.conns[readingBody].Len(),
		Active: l.conns[active].Len(), Leaving: l.conns[leaving].Len(), Evicted: l.evicted, Refused: l.refused,
	}
}

var (
	errHeadTooLarge = errors.New("head of a request is too large")
	errNoHeadRoom   = errors.New("too many bytes of heads at once")
)
