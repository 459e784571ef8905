package attempt

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/test/decktest"
)

// caller is a caller with one request, and what it received.
type caller struct {
	body       string
	sink       recordingSink
	leaveAfter time.Duration // 0 for a caller that does not disconnect
	class      deck.Class
	result     Result
}

var failModes = []string{
	"", "", "unreachable", "draining", "rejected", "failed", "crashed", "stalled", "early-end", "crash-engine",
}

func drawBehaviour(t *rapid.T) decktest.AttemptBehaviour {
	return decktest.AttemptBehaviour{
		Failure:             rapid.SampledFrom(failModes).Draw(t, "fail"),
		TokensBeforeFailure: rapid.IntRange(0, 6).Draw(t, "after"),
		FirstTokenDelay:     time.Duration(rapid.IntRange(0, 900).Draw(t, "delay")) * time.Millisecond,
		ReorderTokens:       rapid.Bool().Draw(t, "noise"),
		SendAfterCancel:     rapid.Bool().Draw(t, "late"),
	}
}

func drawCaller(t *rapid.T, n int) *caller {
	return &caller{
		body:       fmt.Sprintf("r%d", n),
		class:      deck.Class(rapid.IntRange(0, 1).Draw(t, "class")),
		leaveAfter: time.Duration(rapid.SampledFrom([]int{0, 0, 0, 5, 700, 2500}).Draw(t, "leaves")) * time.Millisecond,
		sink: recordingSink{
			maxTokens: rapid.SampledFrom([]int{0, 0, 0, -1, 1, 3}).Draw(t, "limit"),
			pause:     time.Duration(rapid.SampledFrom([]int{0, 0, 40}).Draw(t, "pause")) * time.Millisecond,
		},
	}
}

// TestRunFuzz guards against combinations of engine faults, hedges, preemptions and disconnecting callers after which a caller
// receives anything but its own answer exactly once, from one software version, or a correct refusal, or after which resources leak.
func TestRunFuzz(t *testing.T) {
	decktest.Check(t, func(rt *rapid.T) {
		length := rapid.IntRange(0, 7).Draw(rt, "length")
		f := newFixture(rapid.IntRange(1, 3).Draw(rt, "engines"), answerOf(length))
		poisoned := rapid.Bool().Draw(rt, "poison")
		for _, s := range f.router.Servers {
			e := f.engines[s.Name]
			e.Behaviours = rapid.SliceOfN(rapid.Custom(drawBehaviour), 0, 6).Draw(rt, "plan")
			e.Software = rapid.SliceOfN(rapid.SampledFrom([]deck.SoftwareVersion{"", "v1", "v2"}), 1, 3).Draw(rt, "software")
			e.CrashesOn = func(body string) bool { return poisoned && body == "r1" }
		}
		var callers []*caller
		for n := range rapid.IntRange(1, 4).Draw(rt, "callers") {
			callers = append(callers, drawCaller(rt, n+1))
		}
		preempt := time.Duration(rapid.IntRange(0, 3000).Draw(rt, "preempt")) * time.Millisecond
		synctest.Test(t, func(*testing.T) { f.serve(callers, preempt) })
		for _, c := range callers {
			f.checkAnswer(rt, c, answerTokens(c.body, length))
		}
		f.checkLeaks(rt, len(callers))
	})
}

// serve runs the requests of all callers concurrently.
func (f *fixture) serve(callers []*caller, preempt time.Duration) {
	var group errgroup.Group
	for _, c := range callers {
		group.Go(func() error {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if c.leaveAfter > 0 {
				defer time.AfterFunc(c.leaveAfter, cancel).Stop()
			}
			req := f.request(c.body)
			req.Info.Class = c.class
			c.result = f.runner.Run(ctx, req, &c.sink)
			return nil
		})
	}
	timer := time.AfterFunc(preempt, f.router.Preempt)
	_ = group.Wait()
	timer.Stop()
	f.runner.Wait()
}

// checkAnswer compares the tokens and the result of a caller with its own answer.
func (f *fixture) checkAnswer(t *rapid.T, c *caller, want []string) {
	versions := make(map[string]bool)
	for i, token := range c.sink.tokens {
		text, version, _ := strings.Cut(string(token.Data), "@")
		if i >= len(want) || token.Offset != i || text != want[i] {
			t.Fatalf("%s received token %d %q at offset %d", c.body, token.Offset, token.Data, i)
		}
		versions[version] = true
	}
	if len(versions) > 1 {
		t.Fatalf("%s received tokens of several software versions: %v", c.body, slices.Sorted(maps.Keys(versions)))
	}
	if c.result.Kind == Completed && len(c.sink.tokens) != len(want) {
		t.Fatalf("%s: done after %d of %d tokens", c.body, len(c.sink.tokens), len(want))
	}
	if c.result.NotRun && f.acceptedAttempts(c.body) > 0 {
		t.Fatalf("%s: the result claims that the request did not run after %d accepted attempts", c.body, f.acceptedAttempts(c.body))
	}
	if c.result.Kind == Disconnected && c.leaveAfter == 0 && c.sink.maxTokens == 0 {
		t.Fatalf("%s: the result claims that the caller disconnected", c.body)
	}
	if c.result.Kind == Refused && c.result.Refusal == nil {
		t.Fatalf("%s: refused without a Refusal", c.body)
	}
}

// checkLeaks fails if finished requests left admissions, streams or permits open.
func (f *fixture) checkLeaks(t *rapid.T, callers int) {
	if f.router.ReleaseCount() != callers {
		t.Fatalf("%d of %d admissions released", f.router.ReleaseCount(), callers)
	}
	for name, e := range f.engines {
		if e.OpenStreams() > 0 {
			t.Fatalf("%d streams of %s are not closed", e.OpenStreams(), name)
		}
	}
	if faults := f.router.ProtocolViolations(); len(faults) > 0 {
		t.Fatalf("faults in the calls of the router: %v", faults)
	}
	if n := len(f.runner.Suspects.permits); n > 0 {
		t.Fatalf("permits are still held on %d servers", n)
	}
}

func answerOf(n int) func(string) []string {
	return func(body string) []string { return answerTokens(body, n) }
}

// TestHedge guards against a hedge that starts too early, too late or without retry budget, and against a losing attempt that
// is not cancelled.
func TestHedge(t *testing.T) {
	slow := decktest.AttemptBehaviour{FirstTokenDelay: 5 * time.Second}
	for _, tc := range []struct {
		name           string
		class          deck.Class
		first          decktest.AttemptBehaviour
		second         decktest.AttemptBehaviour
		budgetSpent    bool // the budget is used up
		secondAttempts int  // attempts on the second engine
		winner         deck.BackendName
		elapsed        time.Duration
	}{
		{
			"first is fast", deck.Interactive, decktest.AttemptBehaviour{}, decktest.AttemptBehaviour{},
			false, 0, "e1", 5 * time.Millisecond,
		},
		{"second wins", deck.Interactive, slow, decktest.AttemptBehaviour{}, false, 1, "e2", 605 * time.Millisecond},
		{
			"first wins", deck.Interactive, decktest.AttemptBehaviour{FirstTokenDelay: time.Second}, slow,
			false, 1, "e1", 1005 * time.Millisecond,
		},
		{
			"second fails", deck.Interactive, decktest.AttemptBehaviour{FirstTokenDelay: time.Second},
			decktest.AttemptBehaviour{Failure: "failed"}, false, 1, "e1", 1005 * time.Millisecond,
		},
		{
			"batch waits", deck.Batch, decktest.AttemptBehaviour{FirstTokenDelay: time.Second}, decktest.AttemptBehaviour{},
			false, 0, "e1", 1005 * time.Millisecond,
		},
		{
			"no budget", deck.Interactive, decktest.AttemptBehaviour{FirstTokenDelay: time.Second}, decktest.AttemptBehaviour{},
			true, 0, "e1", 1005 * time.Millisecond,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(2, answerOf(3))
				f.engines["e1"].Behaviours = []decktest.AttemptBehaviour{tc.first}
				f.engines["e2"].Behaviours = []decktest.AttemptBehaviour{tc.second}
				if tc.budgetSpent {
					exhaustBudget(f.runner.Budget)
				}
				req := f.request("r")
				req.Info.Class = tc.class
				start := time.Now()
				var sink recordingSink
				is.Equal(f.runner.Run(t.Context(), req, &sink).Kind, Completed)
				is.Equal(len(sink.tokens), 3)
				is.Equal(len(f.engines["e2"].Attempts()), tc.secondAttempts)
				is.Equal(time.Since(start).Round(5*time.Millisecond), tc.elapsed)
				f.runner.Wait()
				for name, e := range f.engines {
					lost := len(e.Attempts()) > 0 && name != tc.winner && tc.second.Failure == ""
					is.Equal(len(e.CanceledRequests()) > 0, lost || name == "e2" && tc.second.Failure != "")
				}
			})
		})
	}
}

// exhaustBudget takes from a budget until it refuses, at most 1000 times, and returns the number of retries allowed.
func exhaustBudget(b *Budget) (n int) {
	for n < 1000 && b.TryTake() {
		n++
	}
	return n
}

// TestCallerLeavesAtFirstToken guards against a losing attempt of a hedge that keeps running because the caller disconnected
// at the first token.
func TestCallerLeavesAtFirstToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(2, answerOf(1))
		f.engines["e1"].Behaviours = []decktest.AttemptBehaviour{{FirstTokenDelay: 5 * time.Second}}
		is.Equal(f.runner.Run(t.Context(), f.request("r"), &recordingSink{maxTokens: -1}).Kind, Disconnected)
		f.runner.Wait()
		is.Equal(len(f.engines["e1"].CanceledRequests()), 1)
		is.Equal(len(f.engines["e2"].CanceledRequests()), 1)
		is.Equal(f.router.ProtocolViolations(), nil)
	})
}

// TestCancelledBeforeSend guards against a request that reaches an engine although its result said that it did not run: the
// loop abandons the attempt just as the task is about to send it.
func TestCancelledBeforeSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1, answerOf(1))
		for range 64 { // each side of the race wins about half of the time
			ctx, cancel := context.WithCancel(t.Context())
			x := &execution{runner: f.runner, req: f.request("r"), events: make(chan taskEvent)}
			x.adm, _ = f.router.Admit(ctx, x.req.Info)
			server, _ := x.adm.Choose(ctx, nil, nil)
			permit, _ := f.runner.Suspects.TryAcquire("r", server.Name)
			var loop errgroup.Group
			loop.Go(func() error {
				select {
				case <-x.events:
				case <-t.Context().Done():
				}
				return nil
			})
			synctest.Wait()
			cancel()
			(&task{execution: x, ctx: ctx, number: 1}).send(server, permit)
		}
		is.New(t).Equal(len(f.engines["e1"].Attempts()), 0)
	})
}

// TestBudget guards against retries that multiply the load on failing engines.
func TestBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(2, answerOf(3))
		failing := make([]decktest.AttemptBehaviour, 2000)
		for i := range failing {
			failing[i] = decktest.AttemptBehaviour{Failure: "failed"}
		}
		for _, e := range f.engines {
			e.Behaviours = failing
		}
		const requests = 300
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		var group errgroup.Group
		for n := range requests {
			group.Go(func() error {
				// Hundreds of timers due at the same instant in a synctest bubble crash the race detector's runtime.
				time.Sleep(time.Duration(n) * time.Millisecond)
				f.runner.Run(ctx, f.request(fmt.Sprint("r", n)), &recordingSink{})
				return nil
			})
		}
		_ = group.Wait()
		calls := len(f.engines["e1"].Attempts()) + len(f.engines["e2"].Attempts())
		is.Equal(calls, requests+requests/10)
	})
}

// TestBudgetWindow guards against a budget that never refills, or that drops retries before they leave the window.
func TestBudgetWindow(t *testing.T) {
	is := is.New(t)
	var clock decktest.ManualClock
	clock.Advance(time.Hour)
	b := &Budget{Clock: &clock}
	is.Equal(exhaustBudget(b), 10) // the minimum
	clock.Advance(9 * time.Second)
	for range 250 {
		b.RecordRequest()
	}
	is.Equal(exhaustBudget(b), 15)
	clock.Advance(time.Second)
	is.Equal(exhaustBudget(b), 10) // the first ten retries have left the window
	clock.Advance(time.Minute)
	is.Equal(exhaustBudget(b), 10)
}

// TestPreemption guards against a preempted request that loses or repeats tokens, or that is charged to the retry budget.
func TestPreemption(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(1, answerOf(200))
		exhaustBudget(f.runner.Budget)
		for i := range 3 {
			defer time.AfterFunc(time.Duration(20+i*30)*time.Millisecond, f.router.Preempt).Stop()
		}
		var sink recordingSink
		is.Equal(f.runner.Run(t.Context(), f.request("r"), &sink).Kind, Completed)
		is.Equal(len(sink.tokens), 200)
		is.Equal(len(f.engines["e1"].Attempts()), 4)
		f.runner.Wait()
		is.Equal(len(f.engines["e1"].CanceledRequests()), 3)
	})
}

// TestVersionPinned guards against an answer whose tokens come from two versions of a model: a retry after the first tokens
// must use their version.
func TestVersionPinned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(2, answerOf(5))
		f.engines["e1"].Behaviours = []decktest.AttemptBehaviour{{Failure: "failed"}, {}}
		f.engines["e2"].Behaviours = []decktest.AttemptBehaviour{{Failure: "failed", TokensBeforeFailure: 2}}
		versions := []deck.VersionName{"v1", "v2", "v3"}
		req := f.request("r")
		req.Version = func(deck.BackendName) deck.VersionName {
			v := versions[0]
			versions = versions[1:]
			return v
		}
		is.Equal(f.runner.Run(t.Context(), req, &recordingSink{}).Kind, Completed)
		is.Equal(f.engines["e1"].Attempts()[0].Version, deck.VersionName("v1"))
		is.Equal(f.engines["e2"].Attempts()[0].Version, deck.VersionName("v2"))
		is.Equal(f.engines["e1"].Attempts()[1].Version, deck.VersionName("v2"))
		is.Equal(f.engines["e1"].Attempts()[1].Offset, 2)
	})
}
