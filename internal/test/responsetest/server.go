package responsetest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// settle is how long a server waits for what it has sent to arrive.
const settle = 20 * time.Millisecond

// A Server is a stand-in that answers each connection's first request.
type Server struct {
	Address string // host:port

	requests atomic.Int64
}

// Requests returns how many requests have arrived.
func (s *Server) Requests() int {
	return int(s.requests.Load())
}

// NewServer starts a server that reads a request and calls answer, and closes the connection after that.
func NewServer(t testing.TB, answer func(c *net.TCPConn, r *http.Request)) *Server {
	t.Helper()
	return start(t, func(c *net.TCPConn, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			answer(c, r)
		}
	})
}

// NewUnreadServer starts a server that reads the head of a request only before it calls answer.
func NewUnreadServer(t testing.TB, answer func(c *net.TCPConn, r *http.Request)) *Server {
	t.Helper()
	return start(t, answer)
}

func start(t testing.TB, answer func(c *net.TCPConn, r *http.Request)) *Server {
	t.Helper()
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{Address: l.Addr().String()}
	var g errgroup.Group
	g.Go(func() error {
		for {
			c, err := l.AcceptTCP()
			if err != nil {
				return nil
			}
			g.Go(func() error {
				defer func() { _ = c.Close() }()
				_ = c.SetReadBuffer(socketBufferBytes) // as in DialWriteFirst
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					s.requests.Add(1)
					answer(c, r)
				}
				return nil
			})
		}
	})
	t.Cleanup(func() { _ = l.Close() })
	return s
}

// Send sends the response.
func (r Response) Send(c *net.TCPConn, _ *http.Request) {
	_, _ = io.WriteString(c, r.Text) // the connection ends in any case
}

// SendAndReset sends the response and resets the connection once it has arrived.
func (r Response) SendAndReset(c *net.TCPConn, req *http.Request) {
	r.Send(c, req)
	<-time.After(settle)
	_ = c.SetLinger(0)
}

// SendAndEnd sends the response and ends its direction of the connection, which is closed a little later.
func (r Response) SendAndEnd(c *net.TCPConn, req *http.Request) {
	r.Send(c, req)
	_ = c.CloseWrite()
	<-time.After(settle)
}
