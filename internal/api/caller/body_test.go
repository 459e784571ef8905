package caller

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/api/inbound"
)

// Load pattern: as many bodies that stop just short of their end as there may be requests in progress.
func TestUnfinishedBodyMakesRoomForRequest(t *testing.T) {
	is := is.New(t)
	h := &Handler{Memory: &inbound.Budget{}}
	h.inFlight.limit = 1
	read := make(chan struct{}, 1001)
	srv := httptest.NewServer(h.countInFlight(func(w http.ResponseWriter, r *http.Request) {
		read <- struct{}{}
		_, hold, problem := h.readBody(w, r)
		defer hold.Release()
		if problem != nil {
			problem.write(w)
		}
	}))
	defer srv.Close()
	stopped, err := net.Dial("tcp", srv.Listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = stopped.Close() }()
	_, err = io.WriteString(stopped, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhell")
	is.NoErr(err)
	<-read
	status := 0
	for range 1000 { // until the body is being read
		resp, err := http.Post(srv.URL, "text/plain", strings.NewReader("hello"))
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		if status = resp.StatusCode; status == http.StatusOK {
			break
		}
	}
	is.Equal(status, http.StatusOK)
	answer, err := io.ReadAll(stopped)
	is.NoErr(err)
	is.True(strings.HasPrefix(string(answer), "HTTP/1.1 503")) // it has not run
	is.True(strings.Contains(string(answer), "Not-Run: true"))
}
