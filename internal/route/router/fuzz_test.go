package router

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/route/admit"
	"github.com/geraniumdeck/geraniumdeck/internal/test/decktest"
)

// A life is what the oracle knows of one request.
type life struct {
	*wait
	info     deck.RequestInfo
	since    time.Time // start of the present wait
	started  bool      // was admitted once
	server   deck.BackendName
	released bool
}

func (l *life) waits() bool { return l.told == 0 && !l.released }
func (l *life) runs() bool  { return l.server != "" && !l.released }

// An oracle checks a core from outside: each request is told once, limits hold, and old waiting work goes first.
type oracle struct {
	*rig
	rt    *rapid.T
	lives []*life
	used  map[deck.BackendName]int // attempts after the last action
}

func (o *oracle) submit(t *rapid.T) {
	info := deck.RequestInfo{
		Model:  "m",
		Caller: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller"),
		Class:  deck.Class(rapid.IntRange(0, 1).Draw(t, "class")),
		Digest: rapid.SampledFrom([]string{"", "x", "y", "z"}).Draw(t, "digest"),
	}
	if rapid.Bool().Draw(t, "has deadline") {
		info.Deadline = o.clock.Now().Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "deadline")) * time.Millisecond)
	}
	for range rapid.IntRange(1, 12).Draw(t, "burst") {
		w := o.rig.submit(info)
		o.lives = append(o.lives, &life{wait: w, info: info, since: o.clock.Now()})
	}
}

func (o *oracle) advance(t *rapid.T) {
	o.clock.Advance(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
	o.core.Tick()
}

// pick returns a running request, or nil.
func (o *oracle) pick(t *rapid.T) *life {
	var running []*life
	for _, l := range o.lives {
		if l.runs() {
			running = append(running, l)
		}
	}
	if len(running) == 0 {
		return nil
	}
	return rapid.SampledFrom(running).Draw(t, "running")
}

func (o *oracle) tokens(t *rapid.T) {
	if l := o.pick(t); l != nil {
		for range rapid.IntRange(1, 5).Draw(t, "tokens") {
			o.clock.Advance(time.Duration(rapid.IntRange(5, 90).Draw(t, "gap")) * time.Millisecond)
			o.observe(l.wait, l.server, deck.ObservedToken, rapid.SampledFrom([]int{1, 900}).Draw(t, "n"))
		}
		o.core.Tick()
	}
}

// end ends an attempt in one of the ways there are; the request chooses again unless its answer is complete.
func (o *oracle) end(t *rapid.T) {
	l := o.pick(t)
	if l == nil {
		return
	}
	kind := rapid.SampledFrom([]deck.ObservationKind{
		deck.ObservedEnd, deck.ObservedEnd, deck.ObservedCancel, deck.ObservedFailure, deck.ObservedCrash,
	}).Draw(t, "kind")
	o.endAs(l, kind)
}

func (o *oracle) endAs(l *life, kind deck.ObservationKind) {
	o.observe(l.wait, l.server, kind, 0)
	last := l.server
	l.server = ""
	if kind == deck.ObservedEnd {
		o.release(l)
		return
	}
	l.told, l.since = 0, o.clock.Now()
	o.core.Rechoose(l.hold, []deck.BackendName{last}, l.notify)
}

func (o *oracle) release(l *life) {
	l.released, l.server = true, ""
	o.core.Release(l.hold)
}

func (o *oracle) leave(t *rapid.T) {
	if len(o.lives) > 0 {
		o.release(rapid.SampledFrom(o.lives).Draw(t, "any"))
	}
}

// check compares the core with the oracle after each action.
func (o *oracle) check(t *rapid.T) {
	for _, l := range o.lives {
		o.checkLife(t, l)
	}
	for b, s := range o.core.servers {
		n := len(s.attempts)
		if n > o.used[b] && n > s.limit.Max(deck.Interactive) {
			t.Fatalf("%s has %d attempts, limit %d", b, n, s.limit.Max(deck.Interactive))
		}
		o.used[b] = n
		running := 0
		for _, l := range o.lives {
			if l.server == b && l.runs() {
				running++
			}
		}
		if running != n {
			t.Fatalf("%s: core counts %d attempts, oracle %d", b, n, running)
		}
	}
}

func (o *oracle) checkLife(t *rapid.T, l *life) {
	if l.told > 1 {
		t.Fatal("a request was told twice")
	}
	if l.released || l.told == 0 || l.server != "" {
		return
	}
	b, ok := o.core.Take(l.hold)
	if l.ref != nil {
		if ok || l.started {
			t.Fatalf("refused with %q though it has started", l.ref.Reason)
		}
		l.released = true
		return
	}
	if !ok {
		t.Fatal("an admitted request has no server")
	}
	l.server = b.Name
	if !l.started {
		o.checkOrder(t, l)
	}
	l.started = true
}

// checkOrder reports work that started before older waiting work of its class whose waiting time is beyond the bound.
func (o *oracle) checkOrder(t *rapid.T, l *life) {
	if l.info.Digest != "" {
		return
	}
	for _, x := range o.lives {
		if !x.waits() || x.info.Class != l.info.Class || x.info.Digest != "" || x.started {
			continue
		}
		if x.since.Before(l.since) && admit.Aged(x.info.Class, l.at.Sub(x.since)) {
			t.Fatalf("a request that waited %v was passed", l.at.Sub(x.since))
		}
	}
}

// finish ends running work one at a time; all waiting work must be told while it does.
func (o *oracle) finish(t *rapid.T) {
	for range 40 * (len(o.lives) + 1) {
		var next *life
		waiting := 0
		for _, l := range o.lives {
			if l.waits() {
				waiting++
			}
			if next == nil && l.runs() {
				next = l
			}
		}
		if waiting == 0 {
			return
		}
		o.clock.Advance(100 * time.Millisecond)
		if next != nil {
			o.endAs(next, deck.ObservedEnd)
		}
		o.core.Tick()
		o.check(t)
	}
	t.Fatal("waiting work starves")
}

// Guards against lost or doubly admitted requests, exceeded limits, starvation and refusals of work that has started.
func TestFuzzAdmission(t *testing.T) {
	decktest.Check(t, func(rt *rapid.T) {
		r := newRig(t, rapid.IntRange(1, 3).Draw(rt, "engines"))
		o := &oracle{rig: r, rt: rt, used: make(map[deck.BackendName]int)}
		rt.Repeat(map[string]func(*rapid.T){
			"submit": o.submit, "advance": o.advance, "tokens": o.tokens, "end": o.end, "leave": o.leave, "": o.check,
		})
		o.finish(rt)
		if n := len(o.core.holds) + len(o.core.waiting); n != 0 {
			rt.Fatal(fmt.Sprintf("%d queue entries are left", n))
		}
	})
}
