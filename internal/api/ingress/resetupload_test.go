package ingress_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/route/table"
)

const (
	uploadBytes   = 12 << 20 // more than the socket buffers of both ends take
	socketTimeout = 5 * time.Second
)

// newUnreadBackend starts a backend that calls answer for each request once its head has arrived, without reading its body, and closes
// the connection afterwards.
func newUnreadBackend(t *testing.T, id string, answer func(c *net.TCPConn, r *http.Request)) *backend {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &backend{id: deck.BackendName(id), addr: l.Addr().String()}
	var g errgroup.Group
	g.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			g.Go(func() error {
				defer func() { _ = c.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err == nil {
					answer(c.(*net.TCPConn), r)
				}
				return nil
			})
		}
	})
	t.Cleanup(func() { _ = l.Close() })
	return b
}

// answerAndReset sends an answer with the status, header lines and body, and resets the connection once the body has arrived.
func answerAndReset(status, header, body string) func(*net.TCPConn, *http.Request) {
	return func(c *net.TCPConn, r *http.Request) {
		reply(c, r, status, header, body)
		<-time.After(20 * time.Millisecond)
		_ = c.SetLinger(0)
	}
}

// answerAndEnd sends an answer and ends it by ending its direction of the connection, which it closes a little later.
func answerAndEnd(status, header, body string) func(*net.TCPConn, *http.Request) {
	return func(c *net.TCPConn, r *http.Request) {
		reply(c, r, status, header, body)
		_ = c.CloseWrite()
		<-time.After(20 * time.Millisecond)
	}
}

// A writeFirstConn reads the end of its connection only after a write has failed, so that the write is what a reset is reported to.
type writeFirstConn struct {
	net.Conn
	once   sync.Once
	failed chan struct{} // closed when a write has failed
	seen   int
	after  int // bytes that are read before
}

func (c *writeFirstConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.once.Do(func() { close(c.failed) })
	}
	return n, err
}

func (c *writeFirstConn) Read(p []byte) (int, error) {
	if c.seen >= c.after {
		select {
		case <-c.failed:
		case <-time.After(socketTimeout):
		}
	}
	n, err := c.Conn.Read(p)
	c.seen += n
	return n, err
}

// newUploadHarness returns a harness that takes uploads, and whose connections report their end to a write first, after the given number
// of bytes of an answer.
func newUploadHarness(t *testing.T, routes []deck.Route, answerBytes int, backends ...*backend) *harness {
	t.Helper()
	h := newHarness(t, routes, backends...)
	h.handler.SetRoutes(table.New(&deck.RoutingConfig{
		Version: 2, Routes: routes, Services: []deck.RoutedService{{Name: "svc"}}, Limits: deck.CallerLimits{MaxBodyBytes: 2 * uploadBytes},
	}))
	h.handler.Client.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		if err != nil {
			return nil, err
		}
		return &writeFirstConn{Conn: c, failed: make(chan struct{}), after: answerBytes}, nil
	}
	return h
}

// sizeOf returns the bytes of the answer that reply writes.
func sizeOf(status, header, body string) int {
	return len("HTTP/1.1 " + status + "\r\nCall-Id: id-1\r\nSigned: s1\r\n" + header + "\r\n" + body)
}

func onceUpload() []deck.Route {
	return []deck.Route{{Prefix: "/p/", Kind: deck.CallOnce, LatencyTarget: 5 * time.Second}}
}

// Guards against an answer without a length that is reset while its request is still being written, and that reaches the caller as
// complete: the system reports a reset once, and here a write learns of it, so that the answer seems to end with its connection.
func TestAnswerThatIsResetDuringTheUploadIsBroken(t *testing.T) {
	upload := strings.Repeat("x", uploadBytes)
	large := strings.Repeat("y", 600<<10)
	for _, tc := range []struct {
		name         string
		routes       []deck.Route
		header, body string
	}{
		{"buffered", onceUpload(), unframed, "part"},
		{"large", onceUpload(), unframed, large},
		{"without a body", onceUpload(), unframed, ""},
		{"stream", stream(false), eventStream + unframed, events(1, 2)},
		{"without a word on its end", onceUpload(), "", "part"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			b := newUnreadBackend(t, "b1", answerAndReset("200 OK", tc.header, tc.body))
			h := newUploadHarness(t, tc.routes, sizeOf("200 OK", tc.header, tc.body), b)
			res := h.call(t, http.MethodPost, "/p/x", upload)
			is.True(res.err != nil || res.status == http.StatusBadGateway) // broken off, or a failure
		})
	}
}

// Guards against a call that may be repeated and fails although another server would have answered it.
func TestRepeatableCallWhoseAnswerIsResetDuringTheUploadIsSentAgain(t *testing.T) {
	is := is.New(t)
	first := newUnreadBackend(t, "b1", answerAndReset("200 OK", unframed, "part"))
	second := newBackend(t, "b2", answerWith("whole"))
	routes := []deck.Route{{Prefix: "/p/", Kind: deck.CallIdempotent, MaxAttempts: 2, LatencyTarget: 5 * time.Second}}
	h := newUploadHarness(t, routes, sizeOf("200 OK", unframed, "part"), first, second)
	res := h.call(t, http.MethodPost, "/p/x", strings.Repeat("x", uploadBytes))
	is.NoErr(res.err)
	is.Equal(res.status, http.StatusOK)
	is.Equal(res.body, "whole")
}

// Guards against an early answer, such as a refusal of a large body, that does not reach its caller because the rest of its request can't
// be written any more.
func TestEarlyAnswerReachesTheCaller(t *testing.T) {
	const tooLarge = "413 Content Too Large"
	for _, tc := range []struct {
		name, status, header, body, whole string
		send                              func(status, header, body string) func(*net.TCPConn, *http.Request)
	}{
		{"with a length, reset", tooLarge, "Content-Length: 9\r\n", "too large", "too large", answerAndReset},
		{"without a body, reset", tooLarge, "Content-Length: 0\r\n", "", "", answerAndReset},
		{"in chunks, reset", tooLarge, "Transfer-Encoding: chunked\r\n", chunk("too large") + "0\r\n\r\n", "too large", answerAndReset},
		{"that ends with its connection", tooLarge, unframed, "too large", "too large", answerAndEnd},
		{"of success that ends with its connection", "200 OK", unframed, "whole", "whole", answerAndEnd},
		{"with a length, closed", tooLarge, "Content-Length: 9\r\n", "too large", "too large", answerAndEnd},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			b := newUnreadBackend(t, "b1", tc.send(tc.status, tc.header, tc.body))
			h := newUploadHarness(t, onceUpload(), sizeOf(tc.status, tc.header, tc.body), b)
			res := h.call(t, http.MethodPost, "/p/x", strings.Repeat("x", uploadBytes))
			is.NoErr(res.err)
			is.Equal(strings.HasPrefix(tc.status, itoa(res.status)), true)
			is.Equal(res.body, tc.whole)
		})
	}
}
