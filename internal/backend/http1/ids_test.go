package http1_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"

	"github.com/matryer/is"
)

// TestConnectionCarriesNoIDTwice guards against a late copy of a response that passes for the response to a later request with its ID, and
// against a connection that is kept for ever with what it remembers of its requests.
func TestConnectionCarriesNoIDTwice(t *testing.T) {
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
	send := func(id string) (earlier int) {
		r := getRequest("/")
		r.ID = id
		e, err := c.Do(context.Background(), s.addr, r)
		is.NoErr(err)
		readAll(t, e)
		return e.Earlier
	}
	var earlier []int
	for _, id := range []string{"a", "b", "a", "c", "b", "a", "", ""} {
		earlier = append(earlier, send(id))
	}
	is.Equal(earlier, []int{0, 1, 0, 1, 2, 0, 1, 2}) // the second "b" fits the second connection, and the third "a" neither
	for n := range 1000 {
		is.True(send("id-"+strconv.Itoa(n)) < 256)
	}
	is.True(s.accepted.Load() <= 3+1000/256+1)
}
