package health

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/test/decktest"
)

// A truth is the actual state of one server.
type truth struct {
	name         deck.BackendName
	slow         bool
	anyChanged   time.Time // last change of any server's speed
	changes      int
	reversals    int // of the weight's direction of change
	rising       bool
	weight       float64
	lastIncrease time.Time
	changed      time.Time // last change of this server's speed
	becameSlow   time.Time // last change to slow after it was fast for longer than an estimate remembers
}

// An oracle compares the tracker's weights with the true speeds.
type oracle struct {
	tracker *Tracker
	now     time.Time
	servers []*truth
}

func newOracle(servers int) *oracle {
	o := &oracle{tracker: NewTracker(DefaultPolicy()), now: time.Unix(1000, 0)}
	for i := range servers {
		o.servers = append(o.servers, &truth{name: deck.BackendName(fmt.Sprint(i)), weight: 1, anyChanged: o.now})
	}
	return o
}

// step feeds the tracker 100 ms of samples.
func (o *oracle) step() {
	for range 5 {
		o.now = o.now.Add(20 * time.Millisecond)
		for _, s := range o.servers {
			gap := 20 * time.Millisecond
			if s.slow {
				gap = 80 * time.Millisecond
			}
			o.tracker.ObserveGap(s.name, "m", gap, o.now)
		}
	}
	o.tracker.Evaluate(o.now)
}

func (o *oracle) run(t *rapid.T) {
	for range rapid.IntRange(1, 40).Draw(t, "steps") {
		o.step()
		o.check(t)
	}
}

func (o *oracle) change(s *truth, slow bool) {
	if s.slow != slow {
		const memory = time.Second // an estimate does not follow a shorter change of speed
		if slow && o.now.Sub(s.changed) > memory {
			s.becameSlow = o.now
		}
		s.slow, s.changes, s.changed = slow, s.changes+1, o.now
		for _, x := range o.servers {
			x.anyChanged = o.now
		}
	}
}

// toggle changes one server's speed. Slow servers stay a minority.
func (o *oracle) toggle(t *rapid.T) {
	s := rapid.SampledFrom(o.servers).Draw(t, "server")
	slow := 0
	for _, x := range o.servers {
		if x.slow {
			slow++
		}
	}
	if s.slow || 2*(slow+1) < len(o.servers) {
		o.change(s, !s.slow)
	}
}

// changeAll makes all servers equally slow or fast.
func (o *oracle) changeAll(t *rapid.T) {
	slow := rapid.Bool().Draw(t, "slow")
	for _, s := range o.servers {
		o.change(s, slow)
	}
}

func (o *oracle) check(t *rapid.T) {
	const settleTime = 6 * time.Second // estimates follow within a second, then the weight takes four steps
	equal, slow := true, 0
	for _, s := range o.servers {
		equal = equal && s.slow == o.servers[0].slow
		if s.slow {
			slow++
		}
	}
	minority := 2*slow < len(o.servers) // with a slow majority, the median is slow too
	for _, s := range o.servers {
		w := o.tracker.Weight(s.name)
		o.checkChange(t, s, w)
		stable := o.now.Sub(s.anyChanged) > settleTime
		switch {
		case stable && s.slow && minority && w > 0.1:
			t.Fatalf("server %s is slow and has weight %v", s.name, w)
		case stable && (!s.slow || equal) && w < 1:
			t.Fatalf("server %s is as fast as its peers and has weight %v", s.name, w)
		case w <= 0:
			t.Fatalf("server %s has no weight left", s.name)
		}
	}
}

// checkChange fails if a weight skips a step, or reverses its direction more than about twice for each change of speed.
func (o *oracle) checkChange(t *rapid.T, s *truth, w float64) {
	if w == s.weight {
		return
	}
	from, to := stepOf(s.weight), stepOf(w)
	if from-to > 1 || to-from > 1 {
		t.Fatalf("server %s jumped from weight %v to %v", s.name, s.weight, w)
	}
	o.checkDelay(t, s, w)
	if rising := w > s.weight; rising != s.rising {
		s.rising = rising
		s.reversals++
	}
	s.weight = w
	total := 0
	for _, x := range o.servers {
		total += x.changes
	}
	if s.reversals > 2*total+1 {
		t.Fatalf("server %s flaps: %d reversals after %d changes of speed", s.name, s.reversals, total)
	}
}

// checkDelay fails if a weight changes before its condition can have held for the time that the policy requires.
func (o *oracle) checkDelay(t *rapid.T, s *truth, w float64) {
	p := DefaultPolicy()
	if s.weight == 1 && o.now.Sub(s.becameSlow) < p.DownHold {
		t.Fatalf("server %s lost weight only %v after it became slow", s.name, o.now.Sub(s.becameSlow))
	}
	if w > s.weight {
		if o.now.Sub(s.lastIncrease) < p.UpHold {
			t.Fatalf("server %s gained weight twice within %v", s.name, o.now.Sub(s.lastIncrease))
		}
		s.lastIncrease = o.now
	}
}

func stepOf(w float64) int {
	for i, s := range weightSteps {
		if s == w {
			return i
		}
	}
	return -10
}

// Guards against slow servers that keep their weight, weights that never recover, flapping, and models whose servers all
// lose their weight.
func TestFuzzSlowServers(t *testing.T) {
	decktest.Check(t, func(rt *rapid.T) {
		o := newOracle(rapid.IntRange(1, 6).Draw(rt, "servers"))
		rt.Repeat(map[string]func(*rapid.T){"run": o.run, "toggle": o.toggle, "all": o.changeAll})
	})
}

// Guards against a suspect that shares a server with another one after 2 crashes, and against counts that never expire.
func TestSuspects(t *testing.T) {
	var s Suspects
	now := time.Unix(1000, 0)
	inFlight := digests{"other"}
	for n, want := range []bool{true, true, false} {
		if got := s.MayShare("poison", inFlight, now); got != want {
			t.Fatalf("after %d crashes: may share %v, want %v", n, got, want)
		}
		now = now.Add(time.Minute)
		if !s.ObserveCrash("poison", "e", now) || s.ObserveCrash("poison", "e", now.Add(crashDedupWindow/2)) {
			t.Fatal("a crash is not counted exactly once")
		}
		if n == 0 {
			s.ObserveCrash("other", "e", now)
		}
	}
	if s.Crashes("poison", now.Add(2*suspectTTL)) != 0 {
		t.Fatal("crash count of a suspect does not expire")
	}
}

type digests []string

func (d digests) EachDigest(f func(string) bool) {
	for _, x := range d {
		if !f(x) {
			return
		}
	}
}
