package attempt

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/test/decktest"
)

// A suspectModel is the oracle of TestSuspectsFuzz.
type suspectModel struct {
	crashes map[string]int
	alone   map[string]bool
	last    map[string]time.Time
	permits map[deck.BackendName][]*Permit
}

// forget drops what is older than ten minutes.
func (m *suspectModel) expire(now time.Time) {
	for d, at := range m.last {
		if now.Sub(at) > 10*time.Minute {
			delete(m.crashes, d)
			delete(m.alone, d)
			delete(m.last, d)
		}
	}
}

// allowed reports whether the digest may enter: a suspect of two crashes is the only suspect on its server.
func (m *suspectModel) allowed(digest string, server deck.BackendName) bool {
	for _, r := range m.permits[server] {
		if r.digest == digest {
			continue
		}
		if m.crashes[digest] >= 2 && m.crashes[r.digest] >= 1 || m.crashes[digest] >= 1 && r.alone {
			return false
		}
	}
	return true
}

func (m *suspectModel) crash(server deck.BackendName, now time.Time) {
	seen := make(map[string]bool)
	for _, r := range m.permits[server] {
		m.alone[r.digest] = m.alone[r.digest] || r.alone
		if !seen[r.digest] {
			m.crashes[r.digest]++
			m.last[r.digest] = now
		}
		seen[r.digest] = true
	}
}

// TestSuspectsFuzz guards against a suspect of two crashes beside another suspect, one crash counted twice, and a
// refusal without three crashes or one alone.
func TestSuspectsFuzz(t *testing.T) {
	decktest.Check(t, func(t *rapid.T) {
		var clock decktest.ManualClock
		clock.Advance(time.Hour)
		s := &Suspects{Clock: &clock}
		m := &suspectModel{
			crashes: make(map[string]int), alone: make(map[string]bool), last: make(map[string]time.Time),
			permits: make(map[deck.BackendName][]*Permit),
		}
		digests := rapid.SampledFrom([]string{"d1", "d2", "d3", "d4"})
		servers := rapid.SampledFrom([]deck.BackendName{"e1", "e2"})
		boots := 0
		t.Repeat(map[string]func(*rapid.T){
			"enter": func(t *rapid.T) {
				digest, server := digests.Draw(t, "digest"), servers.Draw(t, "server")
				r, ok := s.TryAcquire(digest, server)
				if ok != m.allowed(digest, server) {
					t.Fatalf("%s on %s: entered %v", digest, server, ok)
				}
				if ok {
					m.permits[server] = append(m.permits[server], r)
				}
			},
			"crash": func(t *rapid.T) {
				server := servers.Draw(t, "server")
				m.crash(server, clock.Now())
				boots++
				for _, r := range m.permits[server] {
					r.RecordCrash(fmt.Sprint(boots))
					r.Release()
				}
				delete(m.permits, server)
			},
			"leave": func(t *rapid.T) {
				server := servers.Draw(t, "server")
				if list := m.permits[server]; len(list) > 0 {
					list[0].Release()
					m.permits[server] = list[1:]
				}
			},
			"clear": func(t *rapid.T) {
				digest := digests.Draw(t, "digest")
				s.Clear(digest)
				m.last[digest] = time.Time{}
				m.expire(clock.Now())
			},
			"wait": func(t *rapid.T) {
				clock.Advance(time.Duration(rapid.IntRange(1, 6).Draw(t, "minutes")) * time.Minute)
				m.expire(clock.Now())
			},
			"": func(t *rapid.T) {
				for _, d := range []string{"d1", "d2", "d3", "d4"} {
					want := m.crashes[d] >= 3 || m.crashes[d] >= 2 && m.alone[d]
					if s.Refused(d) != want {
						t.Fatalf("%s refused %v after %d crashes", d, !want, m.crashes[d])
					}
				}
			},
		})
	})
}

// TestPoisonRequest guards against a request that crashes one engine after another, and against its neighbours being
// lost or blamed with it.
func TestPoisonRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(4, answerOf(6))
		for _, e := range f.engines {
			e.Poison = func(body string) bool { return body == "poison" }
			e.Plan = make([]decktest.Behaviour, 20)
			for i := range e.Plan {
				e.Plan[i] = decktest.Behaviour{Delay: 300 * time.Millisecond}
			}
		}
		results := make(map[string]*caller)
		var group errgroup.Group
		for _, body := range []string{"a", "b", "poison", "c"} {
			c := &caller{body: body}
			results[body] = c
			group.Go(func() error {
				c.result = f.runner.Run(t.Context(), f.request(body), &c.sink)
				return nil
			})
		}
		_ = group.Wait()
		f.runner.Wait()
		for body, c := range results {
			if body != "poison" {
				is.Equal(c.result.Kind, Done)
				is.Equal(len(c.sink.tokens), 6)
			}
		}
		is.Equal(results["poison"].result.Kind, Refused)
		is.Equal(results["poison"].result.Refusal.Kind, deck.RefusedPoison)
		is.True(!results["poison"].result.NotRun)
		is.Equal(f.acceptedAttempts("poison"), 3)
		reports := f.poison.Reports()
		count := 0
		for _, r := range reports {
			if r.Digest == "poison" {
				count++
				is.Equal(r.Alone, count == 3)
				is.True(r.BootID != "")
			}
		}
		is.Equal(count, 3)
		again := f.runner.Run(t.Context(), f.request("poison"), &recordingSink{})
		is.True(again.NotRun)
		is.Equal(f.acceptedAttempts("poison"), 3)
	})
}

// TestRefusedElsewhere guards against a poison request that another VM already found out.
func TestPoisonReportedByOtherVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(2, answerOf(6))
		f.engines["e1"].Plan = []decktest.Behaviour{{Fail: "crashed", After: 1}}
		time.AfterFunc(time.Millisecond, func() { f.poison.Refuse("r") })
		result := f.runner.Run(t.Context(), f.request("r"), &recordingSink{})
		is.Equal(result.Kind, Refused)
		is.True(!result.NotRun) // it ran on e1
		is.Equal(f.acceptedAttempts("r"), 1)
	})
}

// TestSuspectWaits guards against a suspect that waits for good for a server that became free, or after its caller left.
func TestAcquireWaitsForRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &Suspects{Clock: deck.SystemClock{}}
		crashTwice(t, s, "d1", "d2")
		first, ok := s.TryAcquire("d1", "e1")
		is.True(ok)
		time.AfterFunc(time.Second, first.Release)
		start := time.Now()
		second, err := s.Acquire(t.Context(), "d2", "e1")
		is.NoErr(err)
		is.True(second.Alone())
		is.Equal(time.Since(start), time.Second)
	})
}

// TestSuspectGoesElsewhere guards against a suspect that waits for one server while another is free, and against a
// choice that the router counts for good.
func TestSuspectUsesFreeServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(2, answerOf(3))
		crashTwice(t, f.runner.Suspects, "d1", "d2")
		_, ok := f.runner.Suspects.TryAcquire("d1", "e1")
		is.True(ok)
		is.Equal(f.runner.Run(t.Context(), f.request("d2"), &recordingSink{}).Kind, Done)
		is.Equal(len(f.engines["e1"].Calls()), 0)
		is.Equal(len(f.engines["e2"].Calls()), 1)
		is.Equal(f.router.Faults(), nil)
	})
}

// crashTwice makes suspects that must run alone.
func crashTwice(t *testing.T, s *Suspects, digests ...string) {
	t.Helper()
	is := is.New(t)
	for boot := range 2 {
		for _, digest := range digests {
			r, _ := s.TryAcquire(digest, deck.BackendName("old-"+digest))
			is.True(r.RecordCrash(fmt.Sprint(boot)))
			is.True(!r.RecordCrash(fmt.Sprint(boot))) // one crash counts once
			r.Release()
		}
	}
}
