package watch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/core/restraint"
)

// fakeFleet implements the state, the residency and the sink of a test, and holds the state of its engines.
type fakeFleet struct {
	mu      sync.Mutex
	state   deck.State
	hang    deck.BackendName // engine that never answers a report request
	bootID  string
	polls   map[deck.BackendName][]time.Time
	after   []uint64
	reports int

	restraints restraint.Table
}

func (f *fakeFleet) State() deck.State        { return f.state }
func (f *fakeFleet) Changed() <-chan struct{} { return nil }
func (f *fakeFleet) Proven() bool             { return true }
func (f *fakeFleet) Replicas(deck.ModelName) []deck.ModelReplica {
	return []deck.ModelReplica{{Backend: "e00"}}
}
func (f *fakeFleet) HasAdapter(deck.BackendName, deck.AdapterName) bool    { return false }
func (f *fakeFleet) RecentModels() []deck.ModelName                        { return []deck.ModelName{"m"} }
func (f *fakeFleet) ObserveCacheEvents(deck.BackendName, deck.CacheEvents) {}

func (f *fakeFleet) ObserveReport(deck.EngineReport, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reports++
}

// fakeEngine is an engine that implements only the calls of a poll.
type fakeEngine struct {
	deck.Engine
	f    *fakeFleet
	name deck.BackendName
}

func (e fakeEngine) Report(ctx context.Context) (deck.EngineReport, error) {
	e.f.mu.Lock()
	e.f.polls[e.name] = append(e.f.polls[e.name], time.Now())
	hang, bootID := e.f.hang == e.name, e.f.bootID
	e.f.mu.Unlock()
	if hang {
		<-ctx.Done()
		return deck.EngineReport{}, errors.New("no answer")
	}
	return deck.EngineReport{BootID: bootID}, nil
}

func (e fakeEngine) CacheEvents(_ context.Context, after uint64) (deck.CacheEvents, error) {
	e.f.mu.Lock()
	defer e.f.mu.Unlock()
	if e.name == "e00" {
		e.f.after = append(e.f.after, after)
	}
	return deck.CacheEvents{LastSequence: after + 10}, nil
}

func newFleet(engines int) *fakeFleet {
	f := &fakeFleet{polls: make(map[deck.BackendName][]time.Time), bootID: "1"}
	var t deck.Ticket
	for i := range engines {
		t.BackendServers = append(t.BackendServers, deck.BackendServer{Name: deck.BackendName(fmt.Sprintf("e%02d", i))})
	}
	f.state = f.state.WithTicket(t, 1)
	return f
}

// runPoller runs a poller for the given time and returns once its done channel is closed.
func (f *fakeFleet) runPoller(t *testing.T, d time.Duration, during func()) {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	var g errgroup.Group
	p := New(Config{
		VM: "vm1", Clock: deck.SystemClock{}, State: f, Residency: f, Sink: f,
		Client:     func(b deck.BackendServer) deck.Engine { return fakeEngine{f: f, name: b.Name} },
		Restraints: &f.restraints,
	})
	done := p.Start(ctx, &g)
	if during != nil {
		during()
	}
	<-done
	_ = g.Wait()
}

// TestPollsSubsetStaggered guards against polls of all engines, bursts of polls, and an unresponsive engine that delays the
// polls of the others.
func TestPollsSubsetStaggered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(40)
		f.hang = "e00"
		f.runPoller(t, 20*time.Second+time.Millisecond, nil)
		is.Equal(len(f.polls), 16)
		first := make(map[time.Time]bool)
		for b, times := range f.polls {
			is.True(len(times) >= 10)
			is.Equal(times[1].Sub(times[0]), PollInterval)
			is.True(!first[times[0]])
			first[times[0]] = true
			is.True(b != "")
		}
		is.True(f.reports >= 15*10)
	})
}

// TestCacheEventsAfterRestart guards against cache events that are skipped because a restarted engine numbers its events from
// the start again.
func TestCacheEventsAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1)
		f.runPoller(t, 7*time.Second, func() {
			time.Sleep(3 * time.Second)
			f.mu.Lock()
			f.bootID = "2"
			f.mu.Unlock()
		})
		is.Equal(f.after, []uint64{0, 10, 0, 10})
	})
}

// TestEngineThatNamesALimitIsPolled guards against a VM that knows the load of a limited engine no more, because it waits for permits to
// send it callers' requests. In a pause the engine is not polled.
func TestEngineThatNamesALimitIsPolled(t *testing.T) {
	for _, tc := range []struct {
		name  string
		said  deck.ServerNotice
		polls int
	}{
		{"limit", deck.ServerNotice{Limited: true, Limit: 1}, 10},
		{"pause", deck.ServerNotice{Pause: time.Minute}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(1)
				f.restraints.SetVMs(time.Now(), 1)
				f.runPoller(t, 20*time.Second+time.Millisecond, func() {
					f.restraints.ObserveNotice(time.Now(), "e00", "1", tc.said)
					for range 200 { // callers' requests that use up the limit
						f.restraints.Admit(t.Context(), "e00", "1")
						time.Sleep(100 * time.Millisecond)
					}
				})
				is.True(len(f.polls["e00"]) >= tc.polls)
				is.True(tc.polls > 0 || len(f.polls["e00"]) == 0)
			})
		})
	}
}
