package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// largeAnswer returns an answer to an entry VM of the large fleet: calls in flight at all servers, and the given number of changed
// servers with three models each.
func largeAnswer(servers, changed int) deck.ViewAnswer {
	a := deck.ViewAnswer{IsLeader: true, Leader: "10.1.0.72:7160", EntryVMCount: 294, View: deck.ViewVersion{Term: 1, Revision: 7}}
	for i := range 6 {
		a.Members = append(a.Members, deck.VMName(fmt.Sprintf("10.%d.0.72:7160", i)))
	}
	for i := range servers {
		a.CallsInFlight = append(a.CallsInFlight, deck.ServerCalls{Server: deck.BackendName(fmt.Sprintf("i-%010x", i*7919)), Calls: i % 17})
	}
	for i := range changed {
		s := deck.Server{
			ID: deck.BackendName(fmt.Sprintf("i-%010x", i*7919)), Service: "huvo11a", Address: fmt.Sprintf("10.1.64.%d:8684", i),
			DataCentre: "graz-a", Slots: 16, StartUnixMs: 1787796248415,
		}
		for m := range 3 {
			h := deck.HeldModel{Name: deck.ModelName(fmt.Sprintf("daka%06x", i*3+m)), Version: 1}
			for n := range 3 {
				h.Adapters = append(h.Adapters, deck.AdapterName(fmt.Sprintf("a%d", n)))
			}
			s.Models = append(s.Models, h)
		}
		a.Servers = append(a.Servers, s)
	}
	return a
}

// BenchmarkViewAnswer shows the time that the leader of the large fleet spends on encoding one answer.
func BenchmarkViewAnswer(b *testing.B) {
	for _, changed := range []int{0, 5, 40, 166} {
		b.Run(fmt.Sprintf("%d-changed", changed), func(b *testing.B) {
			a := largeAnswer(166, changed)
			a.FullList, a.ListSerial = changed == 166, 1
			var e viewEncoder
			size := 0
			for b.Loop() {
				data, _ := e.encode(a)
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

// Load pattern: a new leader of the large fleet gets the requests of 294 entry VMs at once, each of which needs the whole list. Guards
// against encoding the list for each of them, which costs the leader its leadership, and against a list of another revision.
func TestWholeListIsEncodedOnce(t *testing.T) {
	is := is.New(t)
	var e viewEncoder
	a := largeAnswer(166, 166)
	a.FullList = true
	for serial := range uint64(2) {
		a.ListSerial = 1 + serial
		a.Servers[0].Draining = serial == 1
		for range 294 {
			data, compressed := e.encode(a)
			is.True(compressed)
			plain, err := zstdDecoder.DecodeAll(data, nil)
			is.NoErr(err)
			var w viewAnswerJSON
			is.NoErr(json.Unmarshal(plain, &w))
			got := viewAnswerFromWire(w)
			is.Equal(len(got.Servers), 166)
			is.Equal(got.Servers[0].Draining, serial == 1)
			is.Equal(got.EntryVMCount, 294)
			is.True(got.FullList)
		}
	}
	is.Equal(e.encoded, 2)
}

// Guards against requests that wait for a change and keep others from being answered, since only one is encoded at a time.
func TestWaitingRequestsHoldUpNoOthers(t *testing.T) {
	is := is.New(t)
	views := &waitingViews{release: make(chan struct{}), waiting: make(chan struct{})}
	mux := http.NewServeMux()
	RegisterControlAPI(mux, ControlAPI{Views: views})
	send := func(vm string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		mux.ServeHTTP(w, httptest.NewRequest(http.MethodPost, viewPath, strings.NewReader(`{"vm":"`+vm+`"}`)))
		return w
	}
	var g errgroup.Group
	g.Go(func() error {
		send("waits")
		return nil
	})
	<-views.waiting
	is.Equal(send("other").Code, http.StatusOK)
	close(views.release)
	is.NoErr(g.Wait())
}

// A waitingViews lets the request of the VM "waits" wait until release is closed.
type waitingViews struct{ release, waiting chan struct{} }

func (v *waitingViews) View(_ context.Context, r deck.ViewRequest) deck.ViewAnswer {
	if r.VM == "waits" {
		close(v.waiting)
		<-v.release
	}
	return deck.ViewAnswer{}
}
