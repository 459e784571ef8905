package peer

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

type demandSink struct{ received []deck.DemandReport }

func (s *demandSink) AddDemand(d deck.DemandReport) { s.received = append(s.received, d) }

// Guards against counts that are changed or lost between an entry VM and the placement leader, and against counts that are
// accepted although they are negative or this VM does not lead.
func TestDemandIsDelivered(t *testing.T) {
	is := is.New(t)
	sink, isLeader := &demandSink{}, true
	srv := httptest.NewServer(DemandHandler(sink, func() bool { return isLeader }))
	defer srv.Close()
	c := DemandClient{HTTP: srv.Client()}
	address := strings.TrimPrefix(srv.URL, "http://")
	d := deck.DemandReport{VM: "vm", Counts: []deck.ModelDemand{{Model: "m", Requests: 2, Tokens: 70}}}
	is.NoErr(c.Send(t.Context(), address, d))
	is.Equal(sink.received, []deck.DemandReport{d})
	is.True(c.Send(t.Context(), address, deck.DemandReport{Counts: []deck.ModelDemand{{Model: "m", Tokens: -1}}}) != nil)
	isLeader = false
	is.True(c.Send(t.Context(), address, d) != nil)
	is.Equal(len(sink.received), 1)
}

// Guards against demand messages that together exceed 6 KB/s at the placement leader, and against rows that are never sent.
func TestDemandStaysWithinTheLeadersByteRate(t *testing.T) {
	is := is.New(t)
	for _, vms := range []int{3, 8, 40} {
		var c DemandCounter
		for i := range 200 {
			c.Add(deck.ModelName(fmt.Sprintf("model-%03d", i)), 1, i)
		}
		bytes, rows, messages := 0, 0, 0
		for got := c.Take(vms); len(got) > 0; got = c.Take(vms) {
			messages++
			rows += len(got)
			bytes += demandOverheadBytes
			for _, r := range got {
				bytes += len(fmt.Sprintf(`{"model":"%s","requests":%d,"tokens":%d},`, r.Model, r.Requests, r.Tokens))
			}
		}
		is.Equal(rows, 200)
		perSecond := float64(bytes) / float64(messages) * float64(vms) / DemandInterval(vms).Seconds()
		is.True(perSecond <= demandBytesPerSecond)
	}
}
