package choose

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// picks returns how often each candidate is picked in 1000 picks with a fixed seed.
func picks(cs []Candidate, req Requirements) []int {
	rnd := rand.New(rand.NewPCG(1, 1))
	out := make([]int, len(cs))
	for range 1000 {
		if i, ok := Pick(cs, req, rnd); ok {
			out[i]++
		}
	}
	return out
}

func server(change func(*Candidate)) Candidate {
	c := Candidate{HasAdapter: true, Room: 10, Weight: 1}
	if change != nil {
		change(&c)
	}
	return c
}

// Guards against picking a server that is unusable, too far away or more loaded than another.
func TestPick(t *testing.T) {
	far := func(c *Candidate) { c.Distance = OtherRegion }
	for name, c := range map[string]struct {
		cs    []Candidate
		req   Requirements
		never int // index that must not be picked
		total int
	}{
		"no room": {[]Candidate{server(nil), server(func(c *Candidate) { c.Room = 0 })}, Requirements{}, 1, 1000},
		"no adapter": {[]Candidate{
			server(nil), server(func(c *Candidate) { c.HasAdapter = false }),
		}, Requirements{Adapter: true}, 1, 1000},
		"far while near":  {[]Candidate{server(nil), server(far)}, Requirements{Farthest: OtherRegion}, 1, 1000},
		"far not allowed": {[]Candidate{server(func(c *Candidate) { c.Room = 0 }), server(far)}, Requirements{}, 1, 0},
		"far if none near": {[]Candidate{
			server(far), server(func(c *Candidate) { c.HasAdapter = false }),
		}, Requirements{Adapter: true}, 1, 1000},
		"down":   {[]Candidate{server(nil), server(func(c *Candidate) { c.Down = true })}, Requirements{}, 1, 1000},
		"avoid":  {[]Candidate{server(nil), server(func(c *Candidate) { c.Avoid = true })}, Requirements{}, 1, 1000},
		"loaded": {[]Candidate{server(nil), server(func(c *Candidate) { c.Load.InFlight = 5 })}, Requirements{}, 1, 1000},
		"reported load": {[]Candidate{
			server(func(c *Candidate) { c.Load = Load{Reported: true, Total: 5} }),
			server(func(c *Candidate) { c.Load = Load{Reported: true, Total: 20, InFlightAtReport: 1} }),
		}, Requirements{}, 1, 1000},
		"near beyond the target": {[]Candidate{
			server(far), server(func(c *Candidate) { c.Room, c.Gap = 0, 2*healthyGap }),
		}, Requirements{}, 1, 1000},
		"far no less loaded": {[]Candidate{
			server(func(c *Candidate) { c.Room, c.Load = 0, Load{Reported: true, Total: 10} }),
			server(func(c *Candidate) { c.Distance, c.Load = OtherRegion, Load{Reported: true, Total: 9} }),
		}, Requirements{Farthest: OtherRegion}, 1, 0},
		"near but slow": {[]Candidate{server(far), server(func(c *Candidate) { c.Weight = 0.02 })}, Requirements{}, 1, 1000},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := picks(c.cs, c.req)
			is.True(n[c.never] <= 20) // a server of reduced weight may be picked in proportion to its weight
			if c.cs[c.never].Weight == 1 {
				is.Equal(n[c.never], 0)
			}
			is.Equal(n[0]+n[1], c.total)
		})
	}
}

// Guards against requests that wait at a full data centre until their deadline while another one is idle, and against an
// exchange of work between data centres that are all busy.
func TestEarlySpill(t *testing.T) {
	for name, c := range map[string]struct {
		near, far int // reported work
		slow      bool
		want      int
	}{
		"far clearly idle":            {20, 9, false, 1000},
		"far hardly less loaded":      {20, 11, false, 0},
		"beside a slow server":        {20, 15, true, 1000},
		"as loaded, near server slow": {20, 17, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cs := []Candidate{
				server(func(x *Candidate) { x.Room, x.Load = 0, Load{Reported: true, Total: c.near} }),
				server(func(x *Candidate) { x.Distance, x.Load = OtherRegion, Load{Reported: true, Total: c.far} }),
			}
			if c.slow {
				cs = append(cs, server(func(x *Candidate) { x.Room, x.Weight = 0, 0.02 }))
			}
			is.Equal(picks(cs, Requirements{Farthest: OtherRegion, MayWait: true})[1], c.want)
		})
	}
}

// Guards against requests that go to a slow server in another region although a healthy one will have room in time, and
// against a slow server that is never probed or stays unused when no time to wait is left.
func TestSlowFarServer(t *testing.T) {
	for name, c := range map[string]struct {
		req     Requirements
		probe   bool
		adapter bool // on the healthy server
		want    int
	}{
		"wait is in time":     {Requirements{Farthest: OtherRegion, MayWait: true}, false, true, 0},
		"no time left":        {Requirements{Farthest: OtherRegion}, false, true, 1000},
		"probe due":           {Requirements{Farthest: OtherRegion, MayWait: true, Probe: true}, true, true, 1000},
		"other lacks adapter": {Requirements{Farthest: OtherRegion, MayWait: true, Adapter: true}, false, false, 1000},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cs := []Candidate{
				server(func(x *Candidate) { x.Distance, x.Room, x.HasAdapter = OtherRegion, 0, c.adapter }),
				server(func(x *Candidate) {
					x.Distance, x.Weight, x.Gap, x.ProbeDue = OtherRegion, 0.02, 2*healthyGap, c.probe
				}),
			}
			is.Equal(picks(cs, c.req)[1], c.want)
		})
	}
}

// Guards against an early spill-over to a far server whose load is unknown.
func TestEarlySpillNeedsReport(t *testing.T) {
	is := is.New(t)
	cs := []Candidate{
		server(func(c *Candidate) { c.Room, c.Load.InFlight = 0, 20 }),
		server(func(c *Candidate) { c.Distance = OtherRegion }),
	}
	is.Equal(picks(cs, Requirements{Farthest: OtherRegion, MayWait: true})[1], 0)
	is.Equal(picks(cs, Requirements{Farthest: OtherRegion})[1], 1000)
}

// Guards against herding: VMs that all pick the one server that a lagging report shows as idle.
func TestTwoChoicesSpread(t *testing.T) {
	is := is.New(t)
	var cs []Candidate
	for i := range 10 {
		cs = append(cs, server(func(c *Candidate) { c.Load = Load{Reported: true, Total: i} }))
	}
	n := picks(cs, Requirements{})
	is.True(n[0] < 250)
	is.Equal(n[9], 0)
}

// Guards against prefix affinity that overloads a server, and against affinity that has no effect.
func TestAffinityBoundedByLoad(t *testing.T) {
	is := is.New(t)
	for own, want := range map[int]int{2: 1000, 30: 0} {
		cs := []Candidate{server(nil), server(nil), server(nil), server(func(c *Candidate) { c.PrefixHit = 1 })}
		for i := range cs {
			cs[i].Load.InFlight = 3
		}
		cs[3].Load.InFlight = own
		is.Equal(picks(cs, Requirements{})[3], want)
	}
}

// Guards against load estimates from a stale report.
func TestStaleReport(t *testing.T) {
	is := is.New(t)
	n, ok := Load{Reported: true, Total: 7, InFlightAtReport: 9, ReportAge: time.Second}.Others()
	is.Equal(n, 0)
	is.True(ok)
	_, ok = Load{Reported: true, ReportAge: time.Minute}.Others()
	is.True(!ok)
}

// Guards against polling too many engines, too few of a model, or the same engines on all VMs.
func TestSubset(t *testing.T) {
	is := is.New(t)
	var all []deck.BackendName
	for i := range 600 {
		all = append(all, deck.BackendName(fmt.Sprintf("e%d", i)))
	}
	is.Equal(len(Subset("vm1", all, nil)), SubsetSize)
	is.Equal(len(Subset("vm1", all[:5], nil)), 5)
	models := [][]deck.BackendName{all[10:13], all[20:21]}
	got := Subset("vm1", all, models)
	count := func(names []deck.BackendName) (n int) {
		for _, b := range got {
			for _, x := range names {
				if b == x {
					n++
				}
			}
		}
		return n
	}
	is.True(count(models[0]) >= 2)
	is.Equal(count(models[1]), 1)
	same := 0
	for _, b := range Subset("vm2", all, nil) {
		same += count([]deck.BackendName{b})
	}
	is.True(same < SubsetSize/2)
	var many [][]deck.BackendName
	for i := range 100 {
		many = append(many, all[2*i:2*i+2])
	}
	is.Equal(len(Subset("vm1", all, many)), maxSubset)
}

// Guards against hints that outlive an eviction or a gap in the events, and against unbounded memory.
func TestPrefixHints(t *testing.T) {
	is := is.New(t)
	var h PrefixHints
	h.RecordPrompt("e", []uint64{1, 2, 3, 4})
	is.Equal(h.Hit("e", []uint64{1, 2, 9, 4}), 0.5)
	h.Observe("e", deck.CacheEvents{Events: []deck.CacheEvent{{Prefix: 2, Evicted: true}, {Prefix: 7}}})
	is.Equal(h.Hit("e", []uint64{1, 2, 3, 4}), 0.25)
	h.Observe("e", deck.CacheEvents{Gap: true, Events: []deck.CacheEvent{{Prefix: 8}}})
	is.Equal(h.Hit("e", []uint64{1}), 0.0)
	is.Equal(h.Hit("e", []uint64{8}), 1.0)
	for p := range uint64(2 * maxHints) {
		h.RecordPrompt("e", []uint64{100 + p})
	}
	is.True(len(h.servers["e"].members) <= maxHints)
	is.Equal(h.Hit("other", []uint64{1}), 0.0)
}
