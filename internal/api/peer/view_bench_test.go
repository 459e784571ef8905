package peer

import (
	"fmt"
	"testing"

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
	for _, changed := range []int{0, 5, 40} {
		b.Run(fmt.Sprintf("%d-changed", changed), func(b *testing.B) {
			a := largeAnswer(166, changed)
			size := 0
			for b.Loop() {
				data := mustMarshal(viewAnswerToWire(a))
				size = len(zstdEncoder.EncodeAll(data, nil))
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
