package execute

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/core/restraint"
	"github.com/geraniumdeck/geraniumdeck/internal/test/decktest"
	"github.com/geraniumdeck/geraniumdeck/internal/test/noticerules"
)

// Guards against a home model without a replica in the published residency.
func TestExecutorLoadsEveryHomeModel(t *testing.T) {
	for name, checks := range map[string]bool{"engines check tokens": true, "engines ignore tokens": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				state := testState(3, 9, checks)
				fakes := make(map[deck.BackendName]*fakeEngine)
				for _, b := range state.BackendServers() {
					fakes[b.Name] = newFakeEngine(b, time.Now)
				}
				lease := deck.PlacementLease{DataCentre: "dc", Holder: "vm", FencingToken: 7, Expires: time.Now().Add(time.Hour)}
				e := New(Config{
					DataCentre: "dc",
					Clock:      deck.SystemClock{},
					Lease:      fixedLease{lease},
					States:     fixedState{state},
					Engine:     func(b deck.BackendServer) deck.Engine { return directEngine{fake: fakes[b.Name]} },
				})
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
				defer cancel()
				is.NoErr(e.Run(ctx))
				<-e.Done()
				for _, m := range state.Models() {
					rs := e.Replicas(m.Name)
					is.Equal(len(rs), 1) // one replica, since there is no demand for more
					is.True(rs[0].Ready)
				}
				for _, f := range fakes {
					is.True(f.overcommitted <= 0)
				}
			})
		})
	}
}

// An expiringLease is held when the executor decides and has expired when it sends: every second call reports no lease.
type expiringLease struct {
	lease     deck.PlacementLease
	heldCalls atomic.Int32
}

func (l *expiringLease) Held() (deck.PlacementLease, bool) {
	if l.heldCalls.Add(1)%2 == 0 {
		return deck.PlacementLease{}, false
	}
	return l.lease, true
}

type countingEngine struct {
	deck.Engine
	operations atomic.Int32
}

func (c *countingEngine) SendOperation(context.Context, deck.Operation) deck.OperationResult {
	c.operations.Add(1)
	return deck.OperationResult{Outcome: deck.OutcomeDone}
}

// Guards against sending an operation after the lease has expired because the process was suspended after the decision.
func TestOperationIsNotSentAfterTheLeaseExpired(t *testing.T) {
	is := is.New(t)
	engine := &countingEngine{}
	lease := &expiringLease{lease: deck.PlacementLease{Holder: "vm", FencingToken: 7, Expires: time.Now().Add(time.Hour)}}
	e := New(Config{
		DataCentre: "dc", Clock: deck.SystemClock{}, Lease: lease, States: fixedState{testState(1, 1, true)},
		Engine: func(deck.BackendServer) deck.Engine { return engine },
	})
	out := e.decide()
	is.Equal(len(out.Sends), 1) // the fence operation
	e.sendOperation(t.Context(), out.Sends[0])
	is.Equal(engine.operations.Load(), int32(0))
}

const enginePause = 3 * time.Second

// A pausingEngine refuses the requests of the first ten seconds, each with a pause, and counts those in its pauses.
type pausingEngine struct {
	directEngine
	restraints *restraint.Table
	usedFrom   time.Time
	until      time.Time
	inPause    int
}

// refuses reports whether the engine refuses a request.
func (p *pausingEngine) refuses() bool {
	p.fake.mu.Lock()
	defer p.fake.mu.Unlock()
	now := time.Now()
	if now.Before(p.until) && now.Add(enginePause-noticerules.NoticeMargin).After(p.until) {
		p.inPause++
	}
	if !now.Before(p.usedFrom) {
		return false
	}
	p.until = now.Add(enginePause)
	p.restraints.ObserveNotice(now, p.fake.backend.Name, "", deck.ServerNotice{Pause: enginePause})
	return true
}

// SendOperation implements deck.Engine.SendOperation.
func (p *pausingEngine) SendOperation(ctx context.Context, op deck.Operation) deck.OperationResult {
	if p.refuses() {
		return deck.OperationResult{Outcome: deck.OutcomeNotRun, Reason: "refused"}
	}
	return p.directEngine.SendOperation(ctx, op)
}

// Report implements deck.Engine.Report.
func (p *pausingEngine) Report(ctx context.Context) (deck.EngineReport, error) {
	if p.refuses() {
		return deck.EngineReport{}, errors.New("refused")
	}
	return p.directEngine.Report(ctx)
}

// TestEngineGetsNoOperationsInThePauseThatItAskedFor guards against operations and requests for reports to an engine that refuses them
// and says for how long, and against an engine that stays unused after it.
func TestEngineGetsNoOperationsInThePauseThatItAskedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		state := testState(1, 2, true)
		table := &restraint.Table{}
		engine := &pausingEngine{
			directEngine: directEngine{fake: newFakeEngine(state.BackendServers()[0], time.Now)},
			restraints:   table, usedFrom: time.Now().Add(10 * time.Second),
		}
		e := New(Config{
			DataCentre: "dc", Clock: deck.SystemClock{}, States: fixedState{state}, Restraints: table,
			Lease:  fixedLease{deck.PlacementLease{DataCentre: "dc", Holder: "vm", FencingToken: 7, Expires: time.Now().Add(time.Hour)}},
			Engine: func(deck.BackendServer) deck.Engine { return engine },
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		is.NoErr(e.Run(ctx))
		is.Equal(engine.inPause, 0)
		for _, m := range state.Models() {
			is.Equal(len(e.Replicas(m.Name)), 1)
		}
	})
}

type fakeWeightStore struct{ err error }

func (s fakeWeightStore) Status(context.Context) (inFlight, limit int, err error) {
	return 2, 9, s.err
}

// Guards against loads that are sent while the weight store does not answer, and against more loads than the share allows.
func TestLoadsWaitForTheWeightStore(t *testing.T) {
	is := is.New(t)
	state := testState(2, 1, true)
	e := New(Config{
		DataCentre: "dc", Clock: &decktest.ManualClock{}, WeightStore: fakeWeightStore{},
		LeasedLoads: func(time.Time) int { return 1 },
	})
	now := e.cfg.Clock.Now().Add(time.Hour)
	e.cfg.Clock.(*decktest.ManualClock).Advance(time.Hour)
	is.Equal(e.loadLimit(state, now), 0)
	e.pollStore(t.Context())
	is.Equal(e.loadLimit(state, now), 6) // five of nine owned, one leased
	e.cfg.WeightStore = fakeWeightStore{err: context.DeadlineExceeded}
	e.pollStore(t.Context())
	is.Equal(e.loadLimit(state, now), 0)
}
