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

// A trackedRequest is the oracle's state of one request.
type trackedRequest struct {
	*submission
	info      deck.RequestInfo
	waitStart time.Time // of the present wait
	admitted  bool
	server    deck.BackendName // of the running attempt; empty for none
	released  bool
	software  *deck.SoftwareVersion // that began its answer; nil if none or unknown
}

func (r *trackedRequest) isWaiting() bool { return r.notified == 0 && !r.released }
func (r *trackedRequest) isRunning() bool { return r.server != "" && !r.released }

// An oracle checks that a core notifies each request once, keeps its limits and starts aged work first.
type oracle struct {
	*harness
	rt           *rapid.T
	requests     []*trackedRequest
	prevAttempts map[deck.BackendName]int // after the previous action
	software     map[deck.BackendName]deck.SoftwareVersion
}

// report makes a server report a software version.
func (o *oracle) report(t *rapid.T) {
	b := rapid.SampledFrom(o.src.replicas["m"]).Draw(t, "replica").Backend
	o.software[b] = rapid.SampledFrom([]deck.SoftwareVersion{"", v1, v2}).Draw(t, "software")
	o.harness.report(b, o.software[b])
}

// checkSoftware fails if a request whose answer has begun was refused although a server may run its software version, or has one that
// does not.
func (o *oracle) checkSoftware(t *rapid.T, r *trackedRequest, refused bool) {
	for _, replica := range o.src.replicas["m"] {
		v, known := o.software[replica.Backend]
		fits := !known || v == *r.software
		if refused && fits || replica.Backend == r.server && !fits {
			t.Fatalf("a request with software %q was refused: %t, or sent to one with %q", *r.software, refused, v)
		}
	}
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
		w := o.harness.submit(info)
		o.requests = append(o.requests, &trackedRequest{submission: w, info: info, waitStart: o.clock.Now()})
	}
}

func (o *oracle) advance(t *rapid.T) {
	o.clock.Advance(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
	o.core.Tick()
}

// pickRunning returns a random running request, or nil if there is none.
func (o *oracle) pickRunning(t *rapid.T) *trackedRequest {
	var running []*trackedRequest
	for _, r := range o.requests {
		if r.isRunning() {
			running = append(running, r)
		}
	}
	if len(running) == 0 {
		return nil
	}
	return rapid.SampledFrom(running).Draw(t, "running")
}

func (o *oracle) tokens(t *rapid.T) {
	if r := o.pickRunning(t); r != nil {
		for range rapid.IntRange(1, 5).Draw(t, "tokens") {
			o.clock.Advance(time.Duration(rapid.IntRange(5, 90).Draw(t, "gap")) * time.Millisecond)
			o.observe(r.submission, r.server, deck.ObservedToken, rapid.SampledFrom([]int{1, 900}).Draw(t, "n"))
		}
		o.core.Tick()
	}
}

// end ends an attempt in a random way; the request calls Reselect unless its answer is complete.
func (o *oracle) end(t *rapid.T) {
	r := o.pickRunning(t)
	if r == nil {
		return
	}
	kind := rapid.SampledFrom([]deck.ObservationKind{
		deck.ObservedEnd, deck.ObservedEnd, deck.ObservedCancel, deck.ObservedFailure, deck.ObservedCrash,
	}).Draw(t, "kind")
	o.endAs(r, kind)
}

func (o *oracle) endAs(r *trackedRequest, kind deck.ObservationKind) {
	o.observe(r.submission, r.server, kind, 0)
	last := r.server
	r.server = ""
	if v, known := o.software[last]; known && r.software == nil && r.request.tokensGenerated > 0 {
		r.software = &v
	}
	if kind == deck.ObservedEnd {
		o.release(r)
		return
	}
	r.notified, r.waitStart = 0, o.clock.Now()
	o.core.Reselect(r.request, []deck.BackendName{last}, r.software, r.notify)
}

func (o *oracle) release(r *trackedRequest) {
	r.released, r.server = true, ""
	o.core.Release(r.request)
}

func (o *oracle) leave(t *rapid.T) {
	if len(o.requests) > 0 {
		o.release(rapid.SampledFrom(o.requests).Draw(t, "any"))
	}
}

// check compares the core with the oracle after each action.
func (o *oracle) check(t *rapid.T) {
	for _, r := range o.requests {
		o.checkRequest(t, r)
	}
	for b, s := range o.core.servers {
		n := len(s.attempts)
		if n > o.prevAttempts[b] && n > s.limit.Max(deck.Interactive) {
			t.Fatalf("%s has %d attempts, limit %d", b, n, s.limit.Max(deck.Interactive))
		}
		o.prevAttempts[b] = n
		running := 0
		for _, r := range o.requests {
			if r.server == b && r.isRunning() {
				running++
			}
		}
		if running != n {
			t.Fatalf("%s: core counts %d attempts, oracle %d", b, n, running)
		}
	}
}

func (o *oracle) checkRequest(t *rapid.T, r *trackedRequest) {
	if r.notified > 1 {
		t.Fatal("a request was notified twice")
	}
	if r.released || r.notified == 0 || r.server != "" {
		return
	}
	b, ok := o.core.TakeReserved(r.request)
	if r.refusal != nil && r.software != nil {
		o.checkSoftware(t, r, true)
		o.release(r)
		return
	}
	if r.refusal != nil {
		if ok || r.admitted {
			t.Fatalf("a request was refused with %q after it was admitted or reserved a server", r.refusal.Reason)
		}
		r.released = true
		return
	}
	if !ok {
		t.Fatal("an admitted request has no server")
	}
	r.server = b.Name
	if r.software != nil {
		o.checkSoftware(t, r, false)
	}
	if !r.admitted {
		o.checkOrder(t, r)
	}
	r.admitted = true
}

// checkOrder fails if the request started before older waiting work of its class that had aged.
func (o *oracle) checkOrder(t *rapid.T, r *trackedRequest) {
	if r.info.Digest != "" {
		return
	}
	for _, x := range o.requests {
		if !x.isWaiting() || x.info.Class != r.info.Class || x.info.Digest != "" || x.admitted {
			continue
		}
		if x.waitStart.Before(r.waitStart) && admit.Aged(x.info.Class, r.notifiedAt.Sub(x.waitStart)) {
			t.Fatalf("a newer request started before one that had waited %v", r.notifiedAt.Sub(x.waitStart))
		}
	}
}

// finishAll ends running requests one at a time, and fails if a waiting request starves.
func (o *oracle) finishAll(t *rapid.T) {
	for range 40 * (len(o.requests) + 1) {
		var next *trackedRequest
		waiting := 0
		for _, r := range o.requests {
			if r.isWaiting() {
				waiting++
			}
			if next == nil && r.isRunning() {
				next = r
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
	t.Fatal("a waiting request starved")
}

// Guards against lost or doubly admitted requests, exceeded limits, starvation, refusals of requests that have started and servers of
// another software version than their answers', under random sequences of requests, tokens, failures, reports and releases.
func TestFuzzAdmission(t *testing.T) {
	decktest.Check(t, func(rt *rapid.T) {
		h := newHarness(t, rapid.IntRange(1, 3).Draw(rt, "engines"))
		o := &oracle{
			harness: h, rt: rt, prevAttempts: make(map[deck.BackendName]int), software: make(map[deck.BackendName]deck.SoftwareVersion),
		}
		rt.Repeat(map[string]func(*rapid.T){
			"submit": o.submit, "advance": o.advance, "tokens": o.tokens, "end": o.end, "leave": o.leave, "report": o.report,
			"": o.check,
		})
		o.finishAll(rt)
		if n := len(o.core.queued) + len(o.core.nonEmpty); n != 0 {
			rt.Fatal(fmt.Sprintf("%d queue entries are left", n))
		}
	})
}
