package balance_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/core/restraint"
	"github.com/geraniumdeck/geraniumdeck/internal/route/balance"
)

// A fleetLoad describes entry VMs in several data centres that share servers and know each other's calls by totals only.
type fleetLoad struct {
	dataCentres, vms, servers, slots int // vms and servers of each data centre

	callTime       time.Duration // mean of an exponential distribution
	utilisation    float64       // mean, of the slots of all servers together
	swing          float64       // of the demand of each data centre, which crest one after the other
	reportInterval time.Duration
	length         time.Duration
	maxWait        time.Duration
}

// A fleetEvent is the arrival or the end of a call, or a report of a VM.
type fleetEvent struct {
	at     time.Duration
	vm     int // of the call or report
	server int // where the call ends; -1 for others
	report bool
}

type fleetEvents []fleetEvent

func (e fleetEvents) Len() int           { return len(e) }
func (e fleetEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e fleetEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *fleetEvents) Push(x any)        { *e = append(*e, x.(fleetEvent)) }
func (e *fleetEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// A fleetResult counts calls by what happened to them.
type fleetResult struct {
	calls, refused, late int // late calls waited for a slot for longer than maxWait
	local                int // calls sent to a server of the VM's own data centre
}

// A fleet plays a fleetLoad in virtual time. Servers run calls in order of arrival.
type fleet struct {
	load      fleetLoad
	random    *rand.Rand
	events    fleetEvents
	balancers []*balance.Balancer
	reports   [][]deck.ServerCalls // last report of each VM
	inFlight  []int
	busyUntil [][]time.Duration // of each slot of each server
	result    fleetResult
}

func playFleet(l fleetLoad) fleetResult {
	f := &fleet{load: l, random: rand.New(rand.NewPCG(1, 1))}
	var servers []deck.Server
	for i := range l.servers * l.dataCentres {
		servers = append(servers, deck.Server{
			ID: serverName(i), Service: "llm", Address: fmt.Sprint("a", i), Slots: l.slots, DataCentre: dataCentreName(i % l.dataCentres),
		})
		f.busyUntil = append(f.busyUntil, make([]time.Duration, l.slots))
	}
	f.inFlight = make([]int, len(servers))
	for vm := range l.vms * l.dataCentres {
		own := vm % l.dataCentres
		b := balance.NewBalancer(func(dc deck.DataCentre) balance.Distance {
			return map[bool]balance.Distance{true: balance.SameDataCentre, false: balance.OtherRegion}[dc == dataCentreName(own)]
		}, rand.New(rand.NewPCG(uint64(vm), 2)), &restraint.Table{})
		b.SetServers(now, servers)
		f.balancers = append(f.balancers, b)
		f.events = append(f.events, fleetEvent{at: time.Duration(f.random.Int64N(int64(l.reportInterval))), vm: vm, server: -1, report: true})
	}
	f.reports = make([][]deck.ServerCalls, len(f.balancers))
	for dc := range l.dataCentres {
		f.arrivals(dc)
	}
	heap.Init(&f.events)
	for len(f.events) > 0 {
		f.handle(heap.Pop(&f.events).(fleetEvent))
	}
	return f.result
}

func serverName(i int) deck.BackendName    { return deck.BackendName(fmt.Sprint("s", i)) }
func dataCentreName(i int) deck.DataCentre { return deck.DataCentre(fmt.Sprint("dc-", i)) }

// arrivals adds the calls of a data centre.
func (f *fleet) arrivals(dc int) {
	l := f.load
	mean := l.utilisation * float64(l.servers*l.slots) / l.callTime.Seconds() // a second
	for at := 0.0; at < l.length.Seconds(); {
		wave := 1 + l.swing*math.Sin(2*math.Pi*(at/l.length.Seconds()+float64(dc)/float64(l.dataCentres)))
		at += f.random.ExpFloat64() / (mean * wave)
		f.events = append(f.events, fleetEvent{at: time.Duration(at * 1e9), vm: f.random.IntN(l.vms)*l.dataCentres + dc, server: -1})
	}
}

func (f *fleet) handle(e fleetEvent) {
	b, at := f.balancers[e.vm], now.Add(e.at)
	switch {
	case e.report:
		f.reports[e.vm] = b.ReportInFlight()
		b.RecordInFlightTotals(at, f.totals(e.vm%f.load.dataCentres))
		if e.at < f.load.length {
			heap.Push(&f.events, fleetEvent{at: e.at + f.load.reportInterval, vm: e.vm, server: -1, report: true})
		}
	case e.server >= 0:
		b.RecordCallEnd(serverName(e.server))
		f.inFlight[e.server]--
	default:
		f.call(e, b, at)
	}
}

func (f *fleet) call(e fleetEvent, b *balance.Balancer, at time.Time) {
	f.result.calls++
	s, result := b.Pick(at, balance.Requirements{Service: "llm", MaxWait: f.load.maxWait})
	if result != balance.Chosen {
		f.result.refused++
		return
	}
	b.RecordCallStart(s.ID)
	var server int
	_, _ = fmt.Sscanf(string(s.ID), "s%d", &server)
	if server%f.load.dataCentres == e.vm%f.load.dataCentres {
		f.result.local++
	}
	slot := 0
	for i, until := range f.busyUntil[server] {
		if until < f.busyUntil[server][slot] {
			slot = i
		}
	}
	start := max(e.at, f.busyUntil[server][slot])
	if start-e.at > f.load.maxWait {
		f.result.late++
	}
	work := time.Duration(f.random.ExpFloat64() * float64(f.load.callTime))
	b.RecordSlotTime("llm", work)
	f.busyUntil[server][slot] = start + work
	f.inFlight[server]++
	heap.Push(&f.events, fleetEvent{at: start + work, vm: e.vm, server: server})
}

// totals returns the sums of the last reports, as the control leader sends them to a data centre.
func (f *fleet) totals(dc int) []deck.ServerCalls {
	sums := make(map[deck.BackendName]deck.ServerCalls)
	for vm, calls := range f.reports {
		for _, c := range calls {
			sum := sums[c.Server]
			sum.Server, sum.Calls = c.Server, sum.Calls+c.Calls
			if vm%f.load.dataCentres == dc {
				sum.Near += c.Calls
			}
			sums[c.Server] = sum
		}
	}
	var out []deck.ServerCalls
	for i := range f.inFlight {
		if sum, ok := sums[serverName(i)]; ok {
			out = append(out, sum)
		}
	}
	return out
}

func (r fleetResult) share(n int) float64 { return float64(n) / float64(r.calls) }

// maxLateShare is the share of calls that may wait for longer than their callers accept: 95 in 100 are to be in time.
const maxLateShare = 0.05

// Load pattern: entry VMs of six data centres, the demand of which crests one after the other, share one server in each. Its calls end many
// times between two reports. Guards against VMs that all send calls to the server which was free at the time of the last reports, while
// others have free slots.
func TestShortCallsSpreadDespiteOldReports(t *testing.T) {
	is := is.New(t)
	r := playFleet(fleetLoad{
		dataCentres: 6, vms: 20, servers: 1, slots: 6, callTime: 75 * time.Millisecond, utilisation: 0.65, swing: 0.5,
		reportInterval: 500 * time.Millisecond, length: 20 * time.Second, maxWait: 200 * time.Millisecond,
	})
	is.True(r.share(r.late) <= maxLateShare)
	is.True(r.share(r.refused) <= maxLateShare)
	is.True(r.share(r.local) >= 0.5) // calls leave the data centre only where it lacks room
}

// Load pattern: the same with calls that last for several reports, at three servers in each data centre.
func TestLongCallsSpreadDespiteOldReports(t *testing.T) {
	is := is.New(t)
	r := playFleet(fleetLoad{
		dataCentres: 6, vms: 20, servers: 3, slots: 12, callTime: time.Second, utilisation: 0.65, swing: 0.5,
		reportInterval: 500 * time.Millisecond, length: 20 * time.Second, maxWait: 200 * time.Millisecond,
	})
	is.True(r.share(r.late) <= maxLateShare)
	is.True(r.share(r.refused) <= maxLateShare)
	is.True(r.share(r.local) >= 0.5)
}
