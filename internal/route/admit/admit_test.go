package admit

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// Guards against orders that delay urgent or aged items.
func TestOrder(t *testing.T) {
	for name, items := range map[string][2]Item{ // the second starts first
		"earliest deadline": {{ID: 1, Deadline: at(2 * time.Second)}, {ID: 2, Deadline: at(time.Second)}},
		"class":             {{ID: 1, Class: deck.Batch, Deadline: at(time.Second)}, {ID: 2, Deadline: at(time.Minute)}},
		"caller with less running": {
			{ID: 1, Caller: "busy", Deadline: at(time.Second)}, {ID: 2, Caller: "idle", Deadline: at(time.Minute)},
		},
		"aged": {{ID: 1, Enqueued: start}, {ID: 2, Class: deck.Batch, Enqueued: at(-time.Minute)}},
		"resumed and aged": {
			{ID: 1, Enqueued: start}, {ID: 2, Admitted: true, Enqueued: at(-2 * resumeAgeing)},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			q := &Queue{running: map[string]int{"busy": 3}}
			for _, it := range items {
				if it.Enqueued.IsZero() {
					it.Enqueued = start
				}
				is.True(q.Push(it))
			}
			it, ok := q.Next(start, nil)
			is.True(ok)
			is.Equal(it.ID, uint64(2))
		})
	}
}

// Guards against unbounded queues, and against a bound that rejects a request that was admitted before.
func TestQueueBound(t *testing.T) {
	is := is.New(t)
	var q Queue
	for i := range MaxQueued {
		is.True(q.Push(Item{ID: uint64(i)}))
	}
	is.True(!q.Push(Item{ID: 1000}))
	is.True(q.Push(Item{ID: 1001, Admitted: true}))
	is.True(q.Push(Item{ID: 1002, Class: deck.Batch}))
}

// Guards against an expected wait of interactive work that depends on the rate of batch starts.
func TestWaitByClass(t *testing.T) {
	is := is.New(t)
	var q Queue
	for i := range uint64(20) {
		at := at(time.Duration(i) * 10 * time.Second)
		is.True(q.Push(Item{ID: i, Class: deck.Batch, Enqueued: at.Add(-time.Minute)}))
		q.Start(i, at)
	}
	is.True(q.Push(Item{ID: 100}))
	is.True(q.Push(Item{ID: 101, Class: deck.Batch}))
	is.Equal(q.ExpectedWait(deck.Interactive), time.Duration(0))
	is.True(q.ExpectedWait(deck.Batch) > time.Second)
}

// Guards against a limit that ignores the time between tokens, grows without being used, or lets batch work fill it beside
// interactive work.
func TestLimitFollowsGap(t *testing.T) {
	for name, c := range map[string]struct {
		gap         time.Duration
		w           InFlight
		rises       bool
		falls       bool
		batchFalls  bool
		batchGrowth bool
	}{
		"fast and used": {gap: 20 * time.Millisecond, w: InFlight{All: 500, Batch: 500}, rises: true, batchGrowth: true},
		"fast and idle": {gap: 20 * time.Millisecond, w: InFlight{All: 1}},
		"slow":          {gap: 60 * time.Millisecond, w: InFlight{All: 20, Batch: 4}, falls: true, batchFalls: true},
		"batch beside interactive": {
			gap: 30 * time.Millisecond, w: InFlight{All: 20, Batch: 4, RecentInteractive: true}, rises: true, batchFalls: true,
		},
		"batch without interactive": {gap: 30 * time.Millisecond, w: InFlight{All: 4, Batch: 4}, batchGrowth: true},
		"near the target":           {gap: 38 * time.Millisecond, w: InFlight{All: 24, Batch: 4}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var l Limit
			for i := range 20 {
				l.Observe(c.gap, c.w, at(time.Duration(i+1)*adjustInterval))
			}
			is.Equal(l.Max(deck.Interactive) > InitialLimit, c.rises)
			is.Equal(l.Max(deck.Interactive) < InitialLimit, c.falls)
			is.Equal(l.Max(deck.Batch) < initialBatch, c.batchFalls)
			is.Equal(l.Max(deck.Batch) > initialBatch, c.batchGrowth)
			is.True(l.Max(deck.Batch) >= minLimit)
		})
	}
}

// Guards against a long answer that keeps its priority, against one that starves, and against repeated preemption.
func TestPriority(t *testing.T) {
	is := is.New(t)
	is.True(Priority(deck.Interactive, 0, 0) > Priority(deck.Batch, 0, time.Hour))
	is.True(Priority(deck.Interactive, 8000, 0) < Priority(deck.Interactive, 100, 0))
	is.True(Priority(deck.Interactive, 8000, time.Minute) >= Priority(deck.Interactive, 100, 0))
	is.True(PreemptionCooldown(0) < PreemptionCooldown(3))
	is.True(PreemptionCooldown(100) <= 2*time.Minute)
	batch, long := RunningRequest{Class: deck.Batch, TokensGenerated: 10}, RunningRequest{TokensGenerated: 5000}
	is.True(batch.PreemptBefore(long))
	is.True(long.Preemptible(start))
	is.True(!RunningRequest{TokensGenerated: 50}.Preemptible(start))
	is.True(!RunningRequest{TokensGenerated: 5000, ProtectedUntil: at(time.Second)}.Preemptible(start))
}
