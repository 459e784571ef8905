package hub_test

import (
	"context"
	"math"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/geraniumdeck/geraniumdeck/internal/api/ingress"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/state/hub"
)

const (
	simStep        = 20 * time.Millisecond
	simContact     = 4 * time.Second // a VM that restarted, or whose leader changed, more recently may not know of all crashes yet
	soundAfter     = 500 * time.Millisecond
	maxLateCalls   = 3 // the rule of the users' pages
	maxDenied      = 5 // sound calls, and one in maxDeniedShare, by the same rules
	maxDeniedShare = 500
	sharedPart     = 1
	crashingPart   = 2
)

// A simClock is a clock that the simulation sets.
type simClock struct{ now time.Time }

func (c *simClock) Now() time.Time { return c.now }

// A simCall is a call in flight on an engine.
type simCall struct {
	vm          int
	fingerprint ingress.Fingerprint
	parts       []uint64
	crashes     bool
	sound       bool // the engine has written for long
	sentAt      time.Time
	begins      time.Time // of writing
	ends        time.Time
	repeats     int    // of the call after a crash: by its VM, then by its caller
	release     func() // ends its isolation
}

type simEngine struct {
	server  deck.Server
	calls   []simCall
	downTil time.Time
}

type simVM struct {
	detector *ingress.PoisonDetector
	nextPoll time.Time
	waitsFor *hub.Publisher   // that has the last report; nil if it was lost
	report   deck.BlameReport // the last
	started  time.Time
	lostAt   time.Time // when a message to or from it was last lost
}

// A blameSim is a system without a network: entry VMs, the leader that they poll, and engines that some calls crash.
type blameSim struct {
	random        func(n int) int
	clock         simClock
	vms           []simVM
	engines       []simEngine
	pollInterval  time.Duration
	leader        *hub.Publisher
	log           *fakeLog
	leaderChanged time.Time
	calls         uint64
	lossless      bool // no report or answer is lost
	lookups       bool // calls are short, have no content and are repeated after a crash
	killEvery     float64
	saved         deck.BlameState
	savedAt       time.Time
	repeats       []simCall

	crashes     int       // by the crashing part
	lateAfter   int       // crashes, and simContact
	lastInTime  time.Time // the crash with that number
	lateCalls   int
	deniedCalls int // sound calls that were refused
	soundCalls  int
}

// loses reports whether a message to or from the VM is lost.
func (s *blameSim) loses(vm *simVM) bool {
	lost := !s.lossless && s.chance(0.05)
	if lost {
		vm.lostAt = s.clock.now
	}
	return lost
}

// isInTouch reports whether the rule on late calls holds for the VM. By the users' pages it does not while its links lose packets, which the
// systems with prompts don't make use of.
func (s *blameSim) isInTouch(vm simVM) bool {
	now := s.clock.now
	lossy := s.lookups && now.Sub(vm.lostAt) <= simContact
	return !lossy && now.Sub(vm.started) > simContact && now.Sub(s.leaderChanged) > simContact
}

func (s *blameSim) chance(p float64) bool { return float64(s.random(1_000_000)) < p*1_000_000 }

func (s *blameSim) electLeader() {
	term := uint64(1)
	if s.log != nil {
		term = s.log.term + 1
	}
	s.log = &fakeLog{self: "a", leader: "a", term: term}
	s.leader = hub.NewPublisher(hub.Options{Log: s.log, Monitor: s.log, Clock: &s.clock, Logger: logr.Discard()})
	s.leader.RestoreBlame(s.saved.WithAge(s.clock.now.Sub(s.savedAt)))
	s.leaderChanged = s.clock.now
}

// save keeps the leader's state, once a second, for the next leader.
func (s *blameSim) save() {
	if s.clock.now.Sub(s.savedAt) < time.Second {
		return
	}
	if state, ok := s.leader.TakeUnsavedBlame(); ok {
		s.saved, s.savedAt = state, s.clock.now
		s.leader.RestoreBlame(state)
	}
}

// killAll restarts the leader and all VMs.
func (s *blameSim) killAll() {
	s.electLeader()
	for i := range s.vms {
		s.restart(i)
	}
}

func (s *blameSim) restart(i int) {
	vm := &s.vms[i]
	vm.detector, vm.waitsFor, vm.started = &ingress.PoisonDetector{}, nil, s.clock.now
}

// poll gives a VM the answer to its last report and sends the next one; one in ten is lost on the way there or back. The leader takes
// the crashes at once and answers at the end.
func (s *blameSim) poll(i int) {
	vm := &s.vms[i]
	vm.nextPoll = s.clock.now.Add(s.pollInterval)
	r := deck.ViewRequest{VM: deck.VMName(strconv.Itoa(i))}
	if vm.waitsFor == s.leader && !s.loses(vm) {
		r.Blame.Verdicts = vm.report.Verdicts
		vm.detector.Apply(s.clock.now, s.leader.View(context.Background(), r).Blame)
	}
	vm.waitsFor, vm.report = nil, vm.detector.Report(s.clock.now)
	if !s.loses(vm) {
		r.Blame = deck.BlameReport{Crashes: vm.report.Crashes, Cleared: vm.report.Cleared}
		s.leader.View(context.Background(), r)
		vm.waitsFor = s.leader
	}
}

// send lets a VM handle a call.
func (s *blameSim) send(c simCall) {
	now := s.clock.now
	vm := s.vms[c.vm]
	refused, _ := vm.detector.Refuses(now, c.fingerprint, c.parts)
	if !c.crashes {
		s.soundCalls++
		if refused {
			s.deniedCalls++
		}
	}
	e := &s.engines[s.random(len(s.engines))]
	if refused || now.Before(e.downTil) {
		return
	}
	if s.lookups {
		release, ok := vm.detector.Isolate(c.parts)
		if !ok {
			return
		}
		c.release = release
	}
	if c.crashes && !s.lastInTime.IsZero() && s.isInTouch(vm) && now.Sub(s.lastInTime) > simContact {
		s.lateCalls++
	}
	c.sentAt = now
	c.begins = now.Add(time.Duration(20+s.random(200)) * time.Millisecond)
	c.ends = c.begins.Add(time.Duration(100+s.random(3000)) * time.Millisecond)
	if s.lookups {
		c.begins = now.Add(time.Duration(s.random(60)) * time.Millisecond)
		c.ends = c.begins.Add(time.Duration(s.random(60)) * time.Millisecond)
	}
	e.calls = append(e.calls, c)
}

// crash ends an engine with all its calls; it comes back with a new start and mostly a new name.
func (s *blameSim) crash(e *simEngine) {
	now := s.clock.now
	for _, c := range e.calls {
		parts := c.parts
		if c.sound {
			parts = nil
		}
		s.vms[c.vm].detector.RecordCrash(now, ingress.InterruptedCall{
			Fingerprint: c.fingerprint, Server: e.server, Parts: parts, SentAt: c.sentAt, Began: !s.lookups && !now.Before(c.begins),
		})
		if !s.lookups {
			continue
		}
		c.release()
		if c.repeats++; c.repeats == 1 && s.vms[c.vm].detector.IsOneCrashShort(c.parts) {
			c.repeats++
		}
		if c.repeats <= 2 {
			s.repeats = append(s.repeats, c)
		}
	}
	e.calls = nil
	e.downTil = now.Add(3 * time.Second)
	e.server.StartUnixMs = now.UnixMilli()
	if s.chance(0.7) {
		e.server.ID += "x"
	}
}

func (s *blameSim) runEngines() {
	now := s.clock.now
	for i := range s.engines {
		e := &s.engines[i]
		crashed := false
		kept := e.calls[:0]
		for _, c := range e.calls {
			crashed = crashed || c.crashes && !now.Before(c.begins)
			if !now.Before(c.ends) && !crashed {
				s.vms[c.vm].detector.RecordCompletion(now, c.fingerprint, c.parts)
				if s.lookups {
					c.release()
				}
				continue
			}
			if !c.sound && !c.crashes && now.Sub(c.begins) > soundAfter {
				c.sound = true
				s.vms[c.vm].detector.RecordSound(now, c.parts)
			}
			kept = append(kept, c)
		}
		e.calls = kept
		if crashed {
			s.crashes++
			if s.crashes == s.lateAfter {
				s.lastInTime = now
			}
			s.crash(e)
		}
	}
}

// repeat sends interrupted calls again: the VM to another engine, then the caller to another VM.
func (s *blameSim) repeat() {
	repeats := s.repeats
	s.repeats = nil
	for _, c := range repeats {
		if c.repeats == 2 {
			s.calls++
			c.vm, c.fingerprint = s.random(len(s.vms)), ingress.Fingerprint(1_000_000+s.calls)
		}
		s.send(c)
	}
}

// newCall returns a call whose prompt has the shared part, one of some hundred subjects, few of which are frequent, and a session.
func (s *blameSim) newCall(crashes bool) simCall {
	s.calls++
	subject := uint64(1000 + 300*math.Pow(float64(s.random(1000))/1000, 3))
	c := simCall{vm: s.random(len(s.vms)), fingerprint: ingress.Fingerprint(1_000_000 + s.calls), crashes: crashes}
	c.parts = []uint64{sharedPart, subject, 10_000 + s.calls/4}
	switch {
	case s.lookups: // the target with its caller, and the target
		caller, target := 1_000_000*uint64(1+s.random(100)), 10_000+s.calls
		if crashes {
			target = crashingPart
		}
		c.parts = []uint64{caller + target, target}
	case crashes:
		c.parts[1] = crashingPart
	}
	return c
}

// Load pattern: requests that have one part of their prompts in common, which crashes each engine that begins to write on it, come
// at any VM, among sound calls that share the other parts; or lookups of one target, from many callers, crash all few servers of a service
// again and again, among others that are repeated at once after each crash. Engines also fail together for other reasons, reports to the
// leader are lost, the leader changes, VMs restart, and all processes are killed at once. Guards against calls that reach engines long after the part has crashed five, or the
// target three, and against sound calls that are refused for what they have in common with the others.
func TestCrashingPartIsFoundAcrossVMs(t *testing.T) {
	for _, tc := range []struct {
		name                string
		vms, engines        int
		sound, crashing     float64 // calls per second
		length              time.Duration
		pollInterval        time.Duration
		leaderEvery, rackAt float64 // chance per second
		lookups             bool
		killEvery           float64 // chance per second that all processes are killed; a state is saved each second then
	}{
		{"small system", 8, 12, 100, 2.5, 60 * time.Second, 500 * time.Millisecond, 0.03, 0.05, false, 0},
		{"few crashing calls", 8, 12, 20, 0.1, 240 * time.Second, 500 * time.Millisecond, 0.01, 0.05, false, 0},
		{"large system", 300, 160, 400, 5, 30 * time.Second, 1250 * time.Millisecond, 0.05, 0.05, false, 0},
		{"lookups", 8, 3, 40, 1, 60 * time.Second, 500 * time.Millisecond, 0.03, 0.05, true, 0},
		{"lookups on a large system", 300, 6, 200, 2, 30 * time.Second, 1250 * time.Millisecond, 0.05, 0.05, true, 0},
		{"kills", 8, 12, 100, 1, 120 * time.Second, 500 * time.Millisecond, 0.01, 0.05, false, 0.06},
	} {
		for seed := range simSeeds(t) {
			t.Run(tc.name+"/"+strconv.FormatUint(seed, 10), func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 0))
				s := newBlameSim(random.IntN, tc.vms, tc.engines, tc.pollInterval)
				if s.lookups = tc.lookups; s.lookups {
					s.lateAfter = 3
				}
				s.killEvery = tc.killEvery
				s.run(tc.length, tc.sound, tc.crashing, tc.leaderEvery, tc.rackAt)
				if s.lateCalls > maxLateCalls {
					t.Errorf("%d calls with the crashing part were sent late, after %d crashes", s.lateCalls, s.crashes)
				}
				if s.deniedCalls > maxDenied+s.soundCalls/maxDeniedShare {
					t.Errorf("%d of %d sound calls were refused", s.deniedCalls, s.soundCalls)
				}
			})
		}
	}
}

// simSeeds returns the number of seeds for each system, from SIM_SEEDS.
func simSeeds(t *testing.T) uint64 {
	v := os.Getenv("SIM_SEEDS")
	if v == "" {
		return 3
	}
	n, err := strconv.ParseUint(v, 10, 32)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func newBlameSim(random func(int) int, vms, engines int, pollInterval time.Duration) *blameSim {
	s := &blameSim{random: random, pollInterval: pollInterval, clock: simClock{time.Unix(1000, 0)}, lateAfter: 5}
	s.electLeader()
	start := s.clock.now
	for range vms {
		s.vms = append(s.vms, simVM{
			detector: &ingress.PoisonDetector{}, nextPoll: start.Add(time.Duration(random(int(pollInterval)))),
			started: start.Add(-time.Minute),
		})
	}
	for i := range engines {
		s.engines = append(s.engines, simEngine{server: deck.Server{ID: deck.BackendName("e" + strconv.Itoa(i))}})
	}
	return s
}

func (s *blameSim) run(length time.Duration, sound, crashing, leaderEvery, rackAt float64) {
	end := s.clock.now.Add(length)
	for step := simStep.Seconds(); s.clock.now.Before(end); s.clock.now = s.clock.now.Add(simStep) {
		for n := sound * step; n > 0; n-- {
			if s.chance(n) {
				s.send(s.newCall(false))
			}
		}
		if s.chance(crashing * step) {
			c := s.newCall(true)
			s.send(c)
			if s.chance(0.3) {
				s.send(c) // the caller repeats it
			}
		}
		if s.chance(leaderEvery * step) {
			s.electLeader()
		}
		if s.chance(rackAt * step) {
			for range 3 {
				s.crash(&s.engines[s.random(len(s.engines))])
			}
		}
		if s.chance(0.05 * step) {
			s.restart(s.random(len(s.vms)))
		}
		if s.killEvery > 0 {
			s.save()
			if s.chance(s.killEvery * step) {
				s.killAll()
			}
		}
		s.repeat()
		s.runEngines()
		s.pollDue()
	}
}

// Guards against a wrong verdict that stands as long as callers send requests with the part, none of which can complete, and against
// a right one that costs an engine after engine because it is tried too often.
func TestVerdictsAreTried(t *testing.T) {
	const (
		length    = 40 * time.Minute
		maxWait   = 3 * time.Minute // until a sound part is served again
		maxTrials = maxLateCalls
	)
	for _, sound := range []bool{true, false} {
		s := newBlameSim(rand.New(rand.NewPCG(1, 0)).IntN, 3, 1, 500*time.Millisecond)
		s.lossless = true
		blamedPart := []uint64{crashingPart}
		for n := range 3 { // three crashes with different requests
			server := deck.Server{ID: deck.BackendName("crashed-" + strconv.Itoa(n))}
			s.vms[n].detector.RecordCrash(s.clock.now, ingress.InterruptedCall{
				Fingerprint: ingress.Fingerprint(100 + n), Server: server, Parts: blamedPart, SentAt: s.clock.now, Began: true,
			})
			s.pollAll(2 * time.Second)
		}
		start, sent := s.clock.now, 0
		var servedAfter time.Duration
		for s.clock.now.Sub(start) < length && servedAfter == 0 {
			vm := s.vms[s.random(len(s.vms))].detector
			refused, trial := vm.Refuses(s.clock.now, ingress.Fingerprint(1000+s.random(1_000_000)), blamedPart)
			switch {
			case refused:
			case !trial && sound:
				servedAfter = s.clock.now.Sub(start)
			case sound:
				vm.RecordSound(s.clock.now, blamedPart)
			default:
				sent++
				server := deck.Server{ID: deck.BackendName("tried-" + strconv.Itoa(sent))}
				vm.RecordCrash(s.clock.now, ingress.InterruptedCall{
					Fingerprint: ingress.Fingerprint(5000 + sent), Server: server, Parts: blamedPart, SentAt: s.clock.now, Began: true,
				})
			}
			s.pollAll(500 * time.Millisecond)
		}
		if sound && (servedAfter < time.Minute || servedAfter > maxWait) {
			t.Errorf("a sound part was served again after %v", servedAfter)
		}
		if !sound && (sent == 0 || sent > maxTrials) {
			t.Errorf("a crashing part was sent %d times in %v", sent, length)
		}
	}
}

// Guards against a verdict that was lifted under another leader and comes back when this VM leads again.
func TestVerdictsOfEarlierTermsAreForgotten(t *testing.T) {
	p, log := newPublisher("a", "a")
	request := deck.ViewRequest{VM: "e", Blame: deck.BlameReport{Verdicts: []deck.Verdict{{Suspect: crashingPart}}}}
	if n := len(p.View(t.Context(), request).Blame.Verdicts); n != 1 {
		t.Fatalf("%d verdicts after the report of one", n)
	}
	log.set("b", 2)
	log.set("a", 3)
	if v := p.View(t.Context(), deck.ViewRequest{VM: "e"}).Blame; len(v.Verdicts) != 0 || v.Term != 3 {
		t.Errorf("%d verdicts in term %d, reported in another one", len(v.Verdicts), v.Term)
	}
}

// pollAll lets all VMs poll for the given time.
func (s *blameSim) pollAll(length time.Duration) {
	for end := s.clock.now.Add(length); s.clock.now.Before(end); s.clock.now = s.clock.now.Add(simStep) {
		s.pollDue()
	}
}

func (s *blameSim) pollDue() {
	for i := range s.vms {
		if !s.clock.now.Before(s.vms[i].nextPoll) {
			s.poll(i)
		}
	}
}
