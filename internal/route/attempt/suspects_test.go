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

// suspectModel is the reference model of TestSuspectsFuzz.
type suspectModel struct {
	crashes  map[string]int
	isolated map[string]bool
	last     map[string]time.Time
	permits  map[deck.BackendName][]*Permit
}

// expire deletes records whose last crash is more than ten minutes ago.
func (m *suspectModel) expire(now time.Time) {
	for d, at := range m.last {
		if now.Sub(at) > 10*time.Minute {
			delete(m.crashes, d)
			delete(m.isolated, d)
			delete(m.last, d)
		}
	}
}

// allowed reports whether the digest may get a permit: a suspect with two crashes must be the only suspect on its server.
func (m *suspectModel) allowed(digest string, server deck.BackendName) bool {
	for _, permit := range m.permits[server] {
		if permit.digest == digest {
			continue
		}
		if m.crashes[digest] >= 2 && m.crashes[permit.digest] >= 1 || m.crashes[digest] >= 1 && permit.isolated {
			return false
		}
	}
	return true
}

func (m *suspectModel) crash(server deck.BackendName, now time.Time) {
	seen := make(map[string]bool)
	for _, permit := range m.permits[server] {
		m.isolated[permit.digest] = m.isolated[permit.digest] || permit.isolated
		if !seen[permit.digest] {
			m.crashes[permit.digest]++
			m.last[permit.digest] = now
		}
		seen[permit.digest] = true
	}
}

// TestSuspectsFuzz guards against a suspect with two crashes that runs beside another suspect, a crash that is counted twice,
// and a refusal before three crashes, or before two of which one happened while the suspect was isolated.
func TestSuspectsFuzz(t *testing.T) {
	decktest.Check(t, func(t *rapid.T) {
		var clock decktest.ManualClock
		clock.Advance(time.Hour)
		s := &Suspects{Clock: &clock}
		m := &suspectModel{
			crashes: make(map[string]int), isolated: make(map[string]bool), last: make(map[string]time.Time),
			permits: make(map[deck.BackendName][]*Permit),
		}
		digests := rapid.SampledFrom([]string{"d1", "d2", "d3", "d4"})
		servers := rapid.SampledFrom([]deck.BackendName{"e1", "e2"})
		bootIDs := 0
		t.Repeat(map[string]func(*rapid.T){
			"enter": func(t *rapid.T) {
				digest, server := digests.Draw(t, "digest"), servers.Draw(t, "server")
				permit, ok := s.TryAcquire(digest, server)
				if ok != m.allowed(digest, server) {
					t.Fatalf("%s on %s: permit granted %v", digest, server, ok)
				}
				if ok {
					m.permits[server] = append(m.permits[server], permit)
				}
			},
			"crash": func(t *rapid.T) {
				server := servers.Draw(t, "server")
				m.crash(server, clock.Now())
				bootIDs++
				for _, permit := range m.permits[server] {
					permit.RecordCrash(fmt.Sprint(bootIDs))
					permit.Release()
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
					want := m.crashes[d] >= 3 || m.crashes[d] >= 2 && m.isolated[d]
					if s.IsRefused(d) != want {
						t.Fatalf("%s refused %v after %d crashes", d, !want, m.crashes[d])
					}
				}
			},
		})
	})
}

// TestPoisonRequest guards against a request that keeps crashing one engine after another, and against other requests on those
// engines that fail or are refused with it.
func TestPoisonRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(4, answerOf(6))
		for _, e := range f.engines {
			e.CrashesOn = func(body string) bool { return body == "poison" }
			e.Behaviours = make([]decktest.AttemptBehaviour, 20)
			for i := range e.Behaviours {
				e.Behaviours[i] = decktest.AttemptBehaviour{FirstTokenDelay: 300 * time.Millisecond}
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
				is.Equal(c.result.Kind, Completed)
				is.Equal(len(c.sink.tokens), 6)
			}
		}
		is.Equal(results["poison"].result.Kind, Refused)
		is.Equal(results["poison"].result.Refusal.Kind, deck.RefusedPoison)
		is.True(!results["poison"].result.NotRun)
		is.Equal(f.acceptedAttempts("poison"), 3)
		reports := f.poison.CrashReports()
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

// TestPoisonReportedByOtherVM guards against further attempts of a request that another VM has identified as poison.
func TestPoisonReportedByOtherVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(2, answerOf(6))
		f.engines["e1"].Behaviours = []decktest.AttemptBehaviour{{Failure: "crashed", TokensBeforeFailure: 1}}
		time.AfterFunc(time.Millisecond, func() { f.poison.Refuse("r") })
		result := f.runner.Run(t.Context(), f.request("r"), &recordingSink{})
		is.Equal(result.Kind, Refused)
		is.True(!result.NotRun) // it ran on e1
		is.Equal(f.acceptedAttempts("r"), 1)
	})
}

// TestAcquireWaitsForRelease guards against a suspect that keeps waiting for a server after the other suspect released it.
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
		is.True(second.Isolated())
		is.Equal(time.Since(start), time.Second)
	})
}

// TestSuspectUsesFreeServer guards against a suspect that waits for one server while another is free, and against an unused
// choice that the router counts as in flight forever.
func TestSuspectUsesFreeServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(2, answerOf(3))
		crashTwice(t, f.runner.Suspects, "d1", "d2")
		_, ok := f.runner.Suspects.TryAcquire("d1", "e1")
		is.True(ok)
		is.Equal(f.runner.Run(t.Context(), f.request("d2"), &recordingSink{}).Kind, Completed)
		is.Equal(len(f.engines["e1"].Attempts()), 0)
		is.Equal(len(f.engines["e2"].Attempts()), 1)
		is.Equal(f.router.ProtocolViolations(), nil)
	})
}

// crashTwice records two crashes for each digest, after which it must be isolated.
func crashTwice(t *testing.T, s *Suspects, digests ...string) {
	t.Helper()
	is := is.New(t)
	for bootID := range 2 {
		for _, digest := range digests {
			permit, _ := s.TryAcquire(digest, deck.BackendName("old-"+digest))
			is.True(permit.RecordCrash(fmt.Sprint(bootID)))
			is.True(!permit.RecordCrash(fmt.Sprint(bootID))) // one crash counts once
			permit.Release()
		}
	}
}
