package order

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// laggingReports are engines whose reports show an earlier state.
type laggingReports struct {
	*fakePlatform
	state deck.EngineState
}

// Report implements deck.EngineControl.
func (l laggingReports) Report(context.Context, deck.Server) (deck.EngineState, error) {
	return l.state, nil
}

// TestReportReadSoonAfterAnOrderIsNotApplied guards against a report that was due before an order, waited for the order's end and is then read
// too soon to show it: the next orders are refused, since they were decided on the state before.
func TestReportReadSoonAfterAnOrderIsNotApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newFakePlatform(t, testSpec(2), 1, 1)
		p.engines["a"].models[model(0)] = make(map[deck.AdapterName]bool)
		lagging := laggingReports{p, deck.EngineState{Models: p.engines["a"].held()}}
		c := NewController(Options{
			Self: "self", Monitor: p, Clock: deck.SystemClock{}, MaxLeadershipAge: time.Second, EnginesCheckFencing: true,
			Engines: lagging, Servers: p, Config: p.config, Publish: p.publish, Log: logr.Discard(), Restraints: &p.restraints,
		})
		var ctx context.Context
		c.group, ctx = errgroup.WithContext(t.Context())
		c.readList(ctx)
		time.Sleep(time.Second)
		e := c.engines["a"]
		c.refresh(ctx, e)
		is.True(e.lockSending(ctx))
		c.start(ctx, func(ctx context.Context) { c.refresh(ctx, e) })
		synctest.Wait()
		load := func(a deck.AdapterName) deck.OrderOutcome {
			return c.sendOrder(ctx, e, deck.ModelOrder{Model: model(0), Adapter: a})
		}
		is.Equal(load("a1"), deck.OrderAccepted)
		e.unlockSending()
		is.NoErr(c.group.Wait())
		is.Equal(load("a2"), deck.OrderAccepted)
	})
}
