package ingress_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/route/table"
)

// A lateCopier refuses the first call and runs all others. If a call comes over a connection that has carried one, it first writes the
// answer to that one again.
type lateCopier struct {
	refusal string // with the ID of the call

	calls, runs atomic.Int32
}

func (b *lateCopier) serve(t *testing.T) *backend {
	t.Helper()
	copies := make(chan net.Conn, 1)
	return newBackend(t, "b1", func(c net.Conn, r *http.Request) bool {
		if b.calls.Add(1) == 1 {
			copies <- c
			return b.refuse(c, r)
		}
		select {
		case refused := <-copies:
			if refused == c && !b.refuse(c, r) {
				return false
			}
		default:
		}
		b.runs.Add(1)
		<-time.After(20 * time.Millisecond) // the copy is read first
		return reply(c, r, "200 OK", streamHead, chunk("id: 1\ndata: ok\n\n")+"0\r\n\r\n")
	})
}

func (b *lateCopier) refuse(c net.Conn, r *http.Request) bool {
	_, err := io.WriteString(c, "HTTP/1.1 "+b.refusal+"\r\nCall-Id: "+r.Header.Get("Call-Id")+"\r\nContent-Length: 0\r\n\r\n")
	return err == nil
}

// TestLateCopyOfARefusalIsNoAnswerToTheNextSend guards against a refusal that a server writes again when the same call is sent to it once
// more: the copy bears the ID of the call, so a call that runs is sent a third time, or its caller is told that it has not run.
func TestLateCopyOfARefusalIsNoAnswerToTheNextSend(t *testing.T) {
	for _, tc := range []struct {
		name, refusal string
		servers       []deck.BackendName // all at the address of the backend
	}{
		{"adapter evicted", "421 Misdirected Request\r\nNot-Loaded: 1", []deck.BackendName{"b1"}},
		{"address of another server", "421 Misdirected Request", []deck.BackendName{"b1", "b2"}},
		{"full", "503 Service Unavailable\r\nNot-Run: 1", []deck.BackendName{"b1", "b2"}},
		{"leaving", "503 Service Unavailable\r\nNot-Run: 1\r\nConnection: close", []deck.BackendName{"b1", "b2"}},
	} {
		for _, resumable := range []bool{false, true} {
			t.Run(fmt.Sprint(tc.name, ", resumable ", resumable), func(t *testing.T) {
				is := is.New(t)
				b := &lateCopier{refusal: tc.refusal}
				engine := b.serve(t)
				h := newHarness(t, nil)
				h.handler.SetRoutes(table.New(&deck.RoutingConfig{
					Version: 1, Limits: deck.CallerLimits{MaxBodyBytes: 1 << 20},
					Services: []deck.RoutedService{{Name: "svc", Engine: &deck.EngineSpec{Slots: 8}}},
					Routes: []deck.Route{{
						Host: "a.example", Prefix: "/p/", Kind: deck.CallStream, Resumable: resumable, MaxAttempts: 3,
						LatencyTarget: 200 * time.Millisecond, Targets: []deck.RouteTarget{{Service: "svc", Weight: 1}},
					}},
				}))
				var servers []deck.Server
				for _, id := range tc.servers {
					servers = append(servers, deck.Server{
						ID: id, Service: "svc", Address: engine.addr, Slots: 8,
						Models: []deck.HeldModel{{Name: "m", Adapters: []deck.AdapterName{"a"}}},
					})
				}
				h.balancer.SetServers(time.Now(), servers)
				h.placer.place = func() deck.Placement { return deck.Placement{Server: "b1"} }
				res := h.call(t, http.MethodPost, "/p/x?model=m&adapter=a", "{}")
				is.NoErr(res.err)
				is.Equal(res.status, http.StatusOK)
				is.Equal(res.body, "id: 1\ndata: ok\n\n")
				is.Equal(b.runs.Load(), int32(1))
			})
		}
	}
}
