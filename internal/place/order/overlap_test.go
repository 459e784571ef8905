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
	"github.com/geraniumdeck/geraniumdeck/internal/place/assign"
)

// slowReports are engines whose reports take a round trip.
type slowReports struct {
	*fakePlatform
}

// Report implements deck.EngineControl.
func (s slowReports) Report(ctx context.Context, server deck.Server) (deck.EngineState, error) {
	time.Sleep(60 * time.Millisecond)
	return s.fakePlatform.Report(ctx, server)
}

// TestEndOfAnUnloadKeepsTheRoomOfALaterLoad guards against memory of an engine that is taken to be free while a load is in progress, because
// an unload before it has ended only now. The loads are planned at all times after the unload.
func TestEndOfAnUnloadKeepsTheRoomOfALaterLoad(t *testing.T) {
	const (
		loadTime = 600 * time.Millisecond // from the engine's disk
		interval = 20 * time.Millisecond
	)
	for first := interval; first <= time.Second; first += interval {
		for second := loadTime; second <= loadTime+500*time.Millisecond; second += interval {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				spec := testSpec(6)
				for i := range spec.Models {
					spec.Models[i].LoadTime, spec.Models[i].DiskLoadTime = loadTime, loadTime
				}
				p := newFakePlatform(t, spec, 1, 1)
				for i := range 3 { // as many as fit
					p.engines["a"].models[model(i)] = make(map[deck.AdapterName]bool)
				}
				c := NewController(Options{
					Self: "self", Monitor: p, Clock: deck.SystemClock{}, MaxLeadershipAge: time.Second, EnginesCheckFencing: true,
					Engines: slowReports{p}, Servers: p, Config: p.config, Publish: p.publish, Log: logr.Discard(), Restraints: &p.restraints,
				})
				var ctx context.Context
				c.group, ctx = errgroup.WithContext(t.Context())
				c.readList(ctx)
				time.Sleep(time.Second)
				e := c.engines["a"]
				c.refresh(ctx, e)
				start := func(a assign.Action) {
					c.mu.Lock()
					defer c.mu.Unlock()
					if a.Load != "" && e.usedMegabytes(spec)+70 > spec.WeightMegabytes {
						return
					}
					a.Engine = "a"
					c.startAction(ctx, spec, a, &tokenBucket{}, assign.DemandEstimate{}, time.Now())
				}
				start(assign.Action{Unload: []deck.ModelName{model(2)}})
				time.Sleep(first)
				start(assign.Action{Load: model(3)})
				time.Sleep(second)
				start(assign.Action{Load: model(4)})
				is.NoErr(c.group.Wait())
				for _, v := range p.violations {
					t.Errorf("loads %v and %v after the unload: %s", first, first+second, v)
				}
			})
		}
	}
}
