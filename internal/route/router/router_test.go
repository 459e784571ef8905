package router

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/route/admit"
)

// Guards against an Admit that waits beyond its deadline or misses freed capacity, and against a Start whose goroutine outlives
// its context.
func TestAdmitWaitsForRoomAndExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		src := newSource(1)
		r := New(testConfig(src, deck.SystemClock{}))
		ctx, cancel := context.WithCancel(t.Context())
		var g errgroup.Group
		done := r.Start(ctx, &g)
		var running []deck.Admission
		for range admit.InitialLimit {
			a, ref := r.Admit(ctx, deck.RequestInfo{Model: "m"})
			is.True(ref == nil)
			running = append(running, a)
		}
		began := time.Now()
		_, ref := r.Admit(ctx, deck.RequestInfo{Model: "m", Deadline: began.Add(time.Second)})
		is.True(ref != nil && ref.Kind == deck.RefusedOverload && ref.RetryAfter > 0)
		is.True(time.Since(began) <= time.Second+2*TickInterval)
		g.Go(func() error {
			time.Sleep(time.Second)
			running[0].Release()
			running[0].Release()
			return nil
		})
		a, ref := r.Admit(ctx, deck.RequestInfo{Model: "m"})
		is.True(ref == nil)
		b, ref := a.Choose(ctx, nil, nil)
		is.True(ref == nil)
		is.Equal(b.Name, deck.BackendName("e0"))
		cancel()
		<-done
		is.NoErr(g.Wait())
	})
}

// Guards against a caller that disconnects while it waits and keeps its entry in the queue or its capacity on a server.
func TestCallerDisconnectsWhileWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := New(testConfig(newSource(1), deck.SystemClock{}))
		for range admit.InitialLimit {
			_, ref := r.Admit(t.Context(), deck.RequestInfo{Model: "m"})
			is.True(ref == nil)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, ref := r.Admit(ctx, deck.RequestInfo{Model: "m"})
		is.True(ref != nil)
		is.Equal(len(r.queued), 0)
		is.Equal(len(r.servers["e0"].attempts), admit.InitialLimit)
	})
}
