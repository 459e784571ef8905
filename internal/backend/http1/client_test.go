package http1_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/api/inbound"
	"github.com/geraniumdeck/geraniumdeck/internal/backend/http1"
)

// A server passes each accepted connection to a handler function.
type server struct {
	addr     string
	accepted atomic.Int32
}

func startServer(t *testing.T, handle func(c net.Conn, r *bufio.Reader)) *server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{addr: l.Addr().String()}
	var g errgroup.Group
	g.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			s.accepted.Add(1)
			g.Go(func() error {
				defer func() { _ = c.Close() }()
				handle(c, bufio.NewReader(c))
				return nil
			})
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
	})
	return s
}

func newClient() *http1.Client {
	return &http1.Client{
		Dial: func(ctx context.Context, addr string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		},
		DialTimeout: time.Second, IdleTimeout: time.Minute,
	}
}

func getRequest(target string) *http1.Request {
	return &http1.Request{Method: http.MethodGet, Target: target, Host: "a.example", Header: http.Header{}}
}

func readAll(t *testing.T, e *http1.Exchange) string {
	t.Helper()
	b, err := io.ReadAll(e.Response.Body)
	if err != nil {
		t.Fatal(err)
	}
	e.Release()
	return string(b)
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// TestConnectionReuse guards against a new connection for each request when the last response was read to its end.
func TestConnectionReuse(t *testing.T) {
	is := is.New(t)
	s := startServer(t, func(c net.Conn, r *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(c, okResponse)
		}
	})
	c := newClient()
	for i := range 3 {
		e, err := c.Do(context.Background(), s.addr, getRequest("/"))
		is.NoErr(err)
		is.Equal(e.Reused, i > 0)
		is.Equal(readAll(t, e), "ok")
	}
	is.Equal(s.accepted.Load(), int32(1))
}

// TestNoRetryOnLostConnection guards against a request that is silently sent twice: the server closes the pooled connection
// when the second request arrives on it.
func TestNoRetryOnLostConnection(t *testing.T) {
	is := is.New(t)
	var arrived atomic.Int32
	s := startServer(t, func(c net.Conn, r *bufio.Reader) {
		for n := 0; ; n++ {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			arrived.Add(1)
			if n == 1 {
				return
			}
			_, _ = io.WriteString(c, okResponse)
		}
	})
	c := newClient()
	e, err := c.Do(context.Background(), s.addr, getRequest("/"))
	is.NoErr(err)
	readAll(t, e)
	_, err = c.Do(context.Background(), s.addr, getRequest("/"))
	var send *http1.SendError
	is.True(errors.As(err, &send))
	is.True(send.MaybeSent) // the server may have run it
	is.Equal(arrived.Load(), int32(2))
}

// TestRefusedDialReportsNotSent guards against a refused connection being reported as a request that may have run.
func TestRefusedDialReportsNotSent(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := l.Addr().String()
	is.NoErr(l.Close())
	_, err = newClient().Do(context.Background(), addr, getRequest("/"))
	var send *http1.SendError
	is.True(errors.As(err, &send))
	is.True(!send.MaybeSent)
}

// TestSkipLateResponse guards against a response that reaches the wrong caller: a second response to the first request
// arrives while the one to the second request is awaited.
func TestSkipLateResponse(t *testing.T) {
	is := is.New(t)
	s := startServer(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, okResponse)
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		late := "HTTP/1.1 200 OK\r\nX-Id: first\r\nContent-Length: 4\r\n\r\nlate"
		_, _ = io.WriteString(c, late+strings.Replace(okResponse, "Content-Length: 2", "X-Id: second\r\nContent-Length: 2", 1))
		_, _ = http.ReadRequest(r)
	})
	c := newClient()
	e, err := c.Do(context.Background(), s.addr, getRequest("/"))
	is.NoErr(err)
	readAll(t, e)
	e, err = c.Do(context.Background(), s.addr, getRequest("/"))
	is.NoErr(err)
	is.Equal(e.Response.Header.Get("X-Id"), "first")
	is.NoErr(e.SkipResponse(context.Background(), &http.Request{Method: http.MethodGet}))
	is.Equal(e.Response.Header.Get("X-Id"), "second")
	is.Equal(readAll(t, e), "ok")
}

// TestUnsolicitedBytesCloseConnection guards against bytes that belong to no request being parsed as the next response: the
// server sends each response twice.
func TestUnsolicitedBytesCloseConnection(t *testing.T) {
	is := is.New(t)
	s := startServer(t, func(c net.Conn, r *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(c, okResponse+okResponse)
		}
	})
	c := newClient()
	e, err := c.Do(context.Background(), s.addr, getRequest("/"))
	is.NoErr(err)
	readAll(t, e)
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline) && s.accepted.Load() == 1; {
		e, err = c.Do(context.Background(), s.addr, getRequest("/"))
		if err == nil {
			e.Abort()
		}
	}
	is.True(s.accepted.Load() > 1) // the connection with the unsolicited bytes was closed
}

// TestSecondResponseInTheSameSegmentClosesConnection guards against a copy of a response that has arrived together with it and is read as
// the response to the next request.
func TestSecondResponseInTheSameSegmentClosesConnection(t *testing.T) {
	is := is.New(t)
	s := startServer(t, func(c net.Conn, r *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(c, okResponse+okResponse)
		}
	})
	c := newClient()
	for n := range 20 {
		e, err := c.Do(context.Background(), s.addr, getRequest("/"))
		is.NoErr(err)
		is.True(!e.Reused)
		is.Equal(readAll(t, e), "ok")
		is.Equal(int(s.accepted.Load()), n+1)
	}
}

// TestLateResponseOnIdleConnectionClosesIt guards against a copy of a response that arrives while its connection is idle and is read as the
// response to the next request.
func TestLateResponseOnIdleConnectionClosesIt(t *testing.T) {
	is := is.New(t)
	closed := make(chan error, 2)
	idle := make(chan struct{})
	s := startServer(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, okResponse)
		<-idle
		_, _ = io.WriteString(c, okResponse)
		_, err := r.ReadByte() // fails once the client has closed the connection
		closed <- err
	})
	c := newClient()
	e, err := c.Do(context.Background(), s.addr, getRequest("/"))
	is.NoErr(err)
	readAll(t, e)
	close(idle)
	is.True(<-closed != nil)
	e, err = c.Do(context.Background(), s.addr, getRequest("/"))
	is.NoErr(err)
	is.True(!e.Reused)
	e.Abort()
}

// TestUnidentifiedRequestsDontFollowEachOther guards against a late copy of a response without an ID that is taken for the response to the
// next such request: their connections carry a request with an ID in between.
func TestUnidentifiedRequestsDontFollowEachOther(t *testing.T) {
	is := is.New(t)
	s := startServer(t, func(c net.Conn, r *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(c, okResponse)
		}
	})
	c := newClient()
	probe := getRequest("/health")
	probe.Unidentified = true
	var reused []bool
	for _, r := range []*http1.Request{getRequest("/"), probe, probe, getRequest("/"), probe, probe} {
		e, err := c.Do(context.Background(), s.addr, r)
		is.NoErr(err)
		reused = append(reused, e.Reused)
		readAll(t, e)
	}
	is.Equal(reused, []bool{false, true, false, true, true, false})
}

// TestEarlyResponseClosesConnection guards against body bytes that the server reads as the next request: it responds before
// it has read the body.
func TestEarlyResponseClosesConnection(t *testing.T) {
	is := is.New(t)
	s := startServer(t, func(c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, strings.Replace(okResponse, "200 OK", "413 Too Large", 1))
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = http.ReadRequest(r)
	})
	c := newClient()
	body := bytes.Repeat([]byte("x"), 32<<20) // more than socket buffers hold
	r := &http1.Request{
		Method: http.MethodPost, Target: "/", Host: "a.example", Header: http.Header{}, Body: body,
		ContentLength: int64(len(body)),
	}
	e, err := c.Do(context.Background(), s.addr, r)
	is.NoErr(err)
	is.Equal(e.Response.StatusCode, http.StatusRequestEntityTooLarge)
	readAll(t, e)
	e, err = c.Do(context.Background(), s.addr, getRequest("/"))
	is.NoErr(err)
	is.True(!e.Reused)
	e.Abort()
}

// TestContextCancellationClosesConnection guards against a backend server that keeps working on a cancelled request: closing
// the connection is what stops it.
func TestContextCancellationClosesConnection(t *testing.T) {
	is := is.New(t)
	arrived, ended := make(chan struct{}), make(chan struct{})
	s := startServer(t, func(_ net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		close(arrived)
		_, _ = r.ReadByte() // blocks until the client closes the connection
		close(ended)
	})
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error {
		_, err := newClient().Do(ctx, s.addr, getRequest("/"))
		return err
	})
	<-arrived
	cancel()
	is.True(errors.Is(g.Wait(), context.Canceled))
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the client did not close the connection after its context was cancelled")
	}
}

// TestKeepAliveTimeoutBoundsReuse guards against reuse of a connection that the server is about to close because its idle
// time has passed.
func TestKeepAliveTimeoutBoundsReuse(t *testing.T) {
	is := is.New(t)
	s := startServer(t, func(c net.Conn, r *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(c, strings.Replace(okResponse, "\r\n\r\n", "\r\nKeep-Alive: timeout=0\r\n\r\n", 1))
		}
	})
	c := newClient()
	c.IdleTimeout = time.Nanosecond
	for range 2 {
		e, err := c.Do(context.Background(), s.addr, getRequest("/"))
		is.NoErr(err)
		readAll(t, e)
	}
	is.Equal(s.accepted.Load(), int32(2))
}

// Guards against a backend server in trouble that sends bytes without end in place of a head: the memory and time spent on them
// must be bounded, and the connection closed.
func TestHeadWithoutEndIsBounded(t *testing.T) {
	for _, tt := range []struct{ name, start, repeated string }{
		{"one line", "HTTP/1.1 200 OK\r\nX: ", "xxxxxxxxxxxxxxxx"},
		{"many lines", "HTTP/1.1 200 OK\r\n", "X: xxxxxxxxxxxxxxxx\r\n"},
		{"no status line", "", "garbage "},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			closed := make(chan struct{})
			s := startServer(t, func(c net.Conn, r *bufio.Reader) {
				defer close(closed)
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				block := strings.Repeat(tt.repeated, 1000)
				_, err := io.WriteString(c, tt.start)
				for err == nil {
					_, err = io.WriteString(c, block)
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			_, err := newClient().Do(ctx, s.addr, getRequest("/a"))
			var send *http1.SendError
			is.True(errors.As(err, &send))
			is.True(send.MaybeSent)
			is.NoErr(ctx.Err())
			<-closed
		})
	}
}

// Guards against heads of answers that together take a VM's memory, and against ordinary ones that are refused for them.
func TestHeadsShareTheMemory(t *testing.T) {
	is := is.New(t)
	s := startServer(t, func(c net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			lines := ""
			if req.URL.Path == "/many" {
				lines = strings.Repeat("A:\r\n", 3000)
			}
			_, _ = io.WriteString(c, strings.Replace(okResponse, "\r\n\r\n", "\r\n"+lines+"\r\n", 1))
		}
	})
	c := newClient()
	c.Memory = &inbound.Budget{Bytes: 4 << 20} // a quarter is for answers
	used := func() int64 { return c.Memory.Usage(inbound.Answers).Bytes }
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	e, err := c.Do(ctx, s.addr, getRequest("/many"))
	is.NoErr(err)
	readAll(t, e)
	is.True(used() > 3000*100)
	_, err = c.Do(ctx, s.addr, getRequest("/many"))
	is.True(err != nil)
	e, err = c.Do(ctx, s.addr, getRequest("/"))
	is.NoErr(err)
	readAll(t, e)
	cancel()
	for deadline := time.Now().Add(5 * time.Second); used() > 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(used(), int64(0))
}

// Guards against a call that reads an answer which is not its own for as long as the server sends.
func TestSkippedResponseWithoutEndIsBounded(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	s := startServer(t, func(c net.Conn, r *bufio.Reader) {
		defer close(closed)
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		block := make([]byte, 64<<10)
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n")
		for err == nil {
			_, err = c.Write(block)
		}
	})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	e, err := newClient().Do(ctx, s.addr, getRequest("/a"))
	is.NoErr(err)
	is.True(e.SkipResponse(ctx, &http.Request{Method: http.MethodGet}) != nil)
	is.NoErr(ctx.Err())
	e.Abort()
	<-closed
}
