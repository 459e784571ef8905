package inbound

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Load pattern: bodies that stop just short of their end. A slow one is served.
func TestBodyMustArriveInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := serveTest(t, 0)
		stopped, slow := s.dial(t), s.dial(t)
		head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", maxTestBody)
		send(t, stopped, head)
		send(t, stopped, strings.Repeat("x", maxTestBody-1))
		send(t, slow, head)
		for range 64 {
			time.Sleep(time.Second)
			send(t, slow, strings.Repeat("x", maxTestBody/64))
		}
		is.Equal(status(t, slow), http.StatusOK)
		is.Equal(status(t, stopped), http.StatusRequestTimeout)
	})
}

// Load pattern: refused requests whose bodies never end. The server reads the rest of a body before it answers.
func TestUnreadBodyMustArriveInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := serveTest(t, 0)
		slow, stopped := s.dial(t), s.dial(t)
		refused := strings.Replace(ordinary, "/", unreadPath, 1)
		send(t, slow, refused[:len(refused)-1])
		send(t, stopped, refused[:len(refused)-1])
		time.Sleep(bodyGrace / 2)
		send(t, slow, "o")
		is.Equal(status(t, slow), http.StatusNotFound)
		time.Sleep(bodyGrace/2 + time.Second)
		send(t, slow, ordinary)
		is.Equal(status(t, slow), http.StatusOK)
		synctest.Wait()
		is.Equal(s.Connections(), Connections{Idle: 1, Active: 1})
		is.Equal(status(t, stopped), http.StatusNotFound)
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(s.Connections(), Connections{Idle: 1})
	})
}
