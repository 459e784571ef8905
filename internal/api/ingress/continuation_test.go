package ingress_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/api/ingress"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A fakeOrigins is what entry VMs share about streams.
type fakeOrigins struct {
	mu      sync.Mutex
	records map[deck.StreamKey]deck.StreamOrigin
	recent  []deck.StreamOrigin
	answers int // of 3 control VMs
}

func (f *fakeOrigins) Record(r deck.StreamRecord) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.records == nil {
		f.records = make(map[deck.StreamKey]deck.StreamOrigin)
	}
	f.records[r.Stream] = r.Origin
}

func (f *fakeOrigins) Find(_ context.Context, s deck.StreamKey) deck.OriginFinding {
	f.mu.Lock()
	defer f.mu.Unlock()
	origin, ok := f.records[s]
	return deck.OriginFinding{
		OriginAnswer: deck.OriginAnswer{Known: ok, Origin: origin, Recent: f.recent}, Answers: f.answers, Asked: 3,
	}
}

// A softwareServer is a backend server whose events name its software version.
type softwareServer struct {
	*backend
	software deck.SoftwareVersion
}

// newSoftwareServer starts a server that breaks off each stream that it begins after two events.
func newSoftwareServer(t *testing.T, id string, software deck.SoftwareVersion) softwareServer {
	t.Helper()
	return softwareServer{newBackend(t, id, func(c net.Conn, r *http.Request) bool {
		after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		if after == 0 {
			reply(c, r, "200 OK", streamHead, chunk(eventsOf(software, 1, 2)))
			return false
		}
		return reply(c, r, "200 OK", streamHead, chunk(eventsOf(software, after+1, 4))+"0\r\n\r\n")
	}), software}
}

func eventsOf(software deck.SoftwareVersion, from, to int) string {
	return strings.ReplaceAll(events(from, to), "event", string(software))
}

func (h *harness) setSoftwareServers(servers ...softwareServer) {
	var list []deck.Server
	for _, s := range servers {
		list = append(list, deck.Server{ID: s.id, Service: "svc", Software: s.software, Address: s.addr, Slots: 8})
	}
	h.balancer.SetServers(time.Now(), list)
}

// takeUp sends a call that resumes the stream of an earlier attempt after its second event.
func (h *harness) takeUp(t *testing.T, id, resumes string) (status int, body string) {
	t.Helper()
	is := is.New(t)
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, h.server.URL+"/p/x", strings.NewReader("{}"))
	is.NoErr(err)
	r.Host = "a.example"
	r.Header.Set("Call-Id", id)
	r.Header.Set("Call-Deadline-Ms", "4000")
	r.Header.Set("Last-Event-Id", "2")
	if resumes != "" {
		r.Header.Set("Resumes", resumes)
	}
	resp, err := h.server.Client().Do(r)
	is.NoErr(err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	return resp.StatusCode, string(data)
}

// TestInterruptedStreamGoesOnAtItsSoftwareVersion guards against an answer whose first part is from one software version and whose rest is
// from another, and against one that is broken off although a server of its version serves.
func TestInterruptedStreamGoesOnAtItsSoftwareVersion(t *testing.T) {
	for _, tc := range []struct {
		name   string
		others []deck.SoftwareVersion
		whole  bool
	}{
		{"only another version", []deck.SoftwareVersion{"v2"}, false},
		{"unknown version", []deck.SoftwareVersion{""}, false},
		{"both versions", []deck.SoftwareVersion{"v2", "v2", "v1", "v2"}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, stream(true))
			var others []softwareServer
			for i, v := range tc.others {
				others = append(others, newSoftwareServer(t, fmt.Sprintf("b%d", i), v))
			}
			first := softwareServer{newBackend(t, "a0", func(c net.Conn, r *http.Request) bool {
				reply(c, r, "200 OK", streamHead, chunk(eventsOf("v1", 1, 2)))
				h.setSoftwareServers(others...) // the server leaves and cuts off its streams
				return false
			}), "v1"}
			h.setSoftwareServers(first)
			h.handler.Origins = &fakeOrigins{}
			res := h.call(t, http.MethodPost, "/p/x", "{}")
			if tc.whole {
				is.NoErr(res.err)
				is.Equal(res.body, eventsOf("v1", 1, 4))
				return
			}
			is.True(res.err != nil) // must not look complete
			is.Equal(res.body, eventsOf("v1", 1, 2))
		})
	}
}

// TestStreamIsTakenUpAtItsSoftwareVersion guards against a caller's further attempt that goes on at another software version than the one
// that brought the first event, on a VM that did not serve that attempt, and against one that is refused although the version is known.
func TestStreamIsTakenUpAtItsSoftwareVersion(t *testing.T) {
	v1, v2 := deck.StreamOrigin{Service: "svc", Software: "v1"}, deck.StreamOrigin{Service: "svc", Software: "v2"}
	known := map[deck.StreamKey]deck.StreamOrigin{ingress.StreamKeyOf("first"): v1}
	for _, tc := range []struct {
		name    string
		origins *fakeOrigins
		resumes string
		listed  []deck.SoftwareVersion
		want    deck.SoftwareVersion // empty for a refusal
	}{
		{"known", &fakeOrigins{records: known, answers: 3}, "first", []deck.SoftwareVersion{"v2", "v1", "v2"}, "v1"},
		{"known, none listed", &fakeOrigins{records: known, answers: 3}, "first", []deck.SoftwareVersion{"v2"}, ""},
		{"unknown, two versions", &fakeOrigins{answers: 3}, "first", []deck.SoftwareVersion{"v2", "v1"}, ""},
		{"unknown, one version", &fakeOrigins{recent: []deck.StreamOrigin{v1}, answers: 3}, "first", []deck.SoftwareVersion{"v1"}, "v1"},
		{"unknown, the other version has just left", &fakeOrigins{recent: []deck.StreamOrigin{v1, v2}, answers: 3}, "first",
			[]deck.SoftwareVersion{"v2"}, ""},
		{"unknown, all streams began at a version that left", &fakeOrigins{recent: []deck.StreamOrigin{v1}, answers: 2}, "first",
			[]deck.SoftwareVersion{"v2"}, ""},
		{"unknown, no control VM answers", &fakeOrigins{}, "first", []deck.SoftwareVersion{"v1"}, ""},
		{"unknown, few control VMs answer", &fakeOrigins{answers: 1}, "first", []deck.SoftwareVersion{"v1"}, ""},
		{"first attempt not named, two versions", &fakeOrigins{records: known, answers: 3}, "", []deck.SoftwareVersion{"v1", "v2"}, ""},
		{"first attempt not named, one version", &fakeOrigins{answers: 3}, "", []deck.SoftwareVersion{"v1"}, "v1"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, stream(true))
			h.handler.Origins = tc.origins
			var servers []softwareServer
			for i, v := range tc.listed {
				servers = append(servers, newSoftwareServer(t, fmt.Sprintf("b%d", i), v))
			}
			h.setSoftwareServers(servers...)
			status, body := h.takeUp(t, "second", tc.resumes)
			if tc.want != "" {
				is.Equal(status, http.StatusOK)
				is.Equal(body, eventsOf(tc.want, 3, 4))
				return
			}
			is.Equal(status, http.StatusServiceUnavailable)
			for _, s := range servers {
				is.Equal(len(s.requests()), 0)
			}
		})
	}
}

// TestOriginIsSharedForLaterAttempts guards against a caller's third attempt, at a third VM, that is refused or goes on at another version.
func TestOriginIsSharedForLaterAttempts(t *testing.T) {
	is := is.New(t)
	shared := &fakeOrigins{answers: 3}
	v2, other := newSoftwareServer(t, "b", "v2"), newSoftwareServer(t, "c", "v1")
	failing := softwareServer{newBackend(t, "a", func(c net.Conn, r *http.Request) bool {
		reply(c, r, "200 OK", streamHead, chunk(eventsOf("v1", 1, 2)))
		return false
	}), "v1"}
	vm := func(servers ...softwareServer) *harness {
		h := newHarness(t, stream(true))
		h.handler.Origins = shared
		h.setSoftwareServers(servers...)
		return h
	}
	res := vm(failing).call(t, http.MethodPost, "/p/x", "{}") // with the ID id-1
	is.True(res.err != nil)
	is.Equal(res.body, eventsOf("v1", 1, 2))
	for _, id := range []string{"second", "third"} {
		status, body := vm(v2, other).takeUp(t, id, "id-1")
		is.Equal(status, http.StatusOK)
		is.Equal(body, eventsOf("v1", 3, 4))
	}
}
