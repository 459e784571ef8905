package inbound

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const testBudget = 16 << 20

// openRequest opens a hold that releases its bytes a moment after its request has to end.
func openRequest(b *Budget) (h *Hold, ended *bool) {
	ended = new(bool)
	h = b.Open(Bodies, func() {
		*ended = true
		time.AfterFunc(time.Millisecond, func() { h.Release() })
	})
	return h, ended
}

// Load pattern: many large bodies that never end, beside one that goes on.
func TestBodyThatHoldsTheMostForLongestEndsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := &Budget{Bytes: testBudget}
		old, oldEnded := openRequest(b)
		is.True(old.Grow(6 << 20))
		time.Sleep(time.Second)
		large, largeEnded := openRequest(b)
		is.True(large.Grow(6 << 20))
		time.Sleep(time.Second)
		newest, newestEnded := openRequest(b)
		is.True(newest.Grow(1 << 20)) // there is no more room
		is.True(*oldEnded)
		is.True(!*largeEnded)
		is.True(!*newestEnded)
		is.True(newest.Finish())
		is.True(!old.Grow(1)) // has to end
		is.Equal(b.Usage(Bodies).Ended, int64(1))
	})
}

// Load pattern: a body that takes all room, for which smaller ones must not end.
func TestLargestBodyIsRefusedItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := &Budget{Bytes: testBudget}
		small, smallEnded := openRequest(b)
		is.True(small.Grow(1 << 20))
		large, _ := openRequest(b)
		is.True(large.Grow(10 << 20))
		time.Sleep(time.Second)
		start := time.Now()
		is.True(!large.Grow(10 << 20))
		is.Equal(time.Since(start), time.Duration(0)) // at once
		is.True(!*smallEnded)
		is.Equal(b.Usage(Bodies).Refused, int64(1))
	})
}

// Load pattern: large requests in progress that fill the memory, beside ordinary small ones.
func TestSmallRequestsKeepAReserve(t *testing.T) {
	is := is.New(t)
	b := &Budget{Bytes: testBudget}
	for b.Open(Bodies, nil).Grow(1 << 20) {
	}
	for range 20 {
		is.True(b.Open(Heads, nil).Grow(4 << 10))
		is.True(b.Open(Bodies, nil).Grow(32 << 10))
	}
}

// Load pattern: whole requests that wait for answers, beside more that come. Those in progress must not end.
func TestWholeRequestsDoNotEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := &Budget{Bytes: testBudget}
		whole, wholeEnded := openRequest(b)
		is.True(whole.Grow(10 << 20))
		is.True(whole.Finish())
		time.Sleep(time.Minute)
		next, _ := openRequest(b)
		is.True(!next.Grow(4 << 20))
		is.True(!*wholeEnded)
		whole.Release()
		again, _ := openRequest(b)
		is.True(again.Grow(4 << 20))
	})
}

// Load pattern: as many bodies that never end as there may be requests in progress.
func TestOldestBodyEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := &Budget{Bytes: testBudget}
		is.True(!b.EndOldestBody())
		is.True(!(*Budget)(nil).EndOldestBody())
		whole, wholeEnded := openRequest(b)
		is.True(whole.Finish())
		b.Open(Heads, func() {})
		time.Sleep(time.Second)
		_, oldEnded := openRequest(b)
		time.Sleep(time.Second)
		_, newEnded := openRequest(b)
		is.True(b.EndOldestBody())
		is.True(*oldEnded)
		is.True(!*newEnded)
		is.True(b.EndOldestBody())
		is.True(!b.EndOldestBody())
		is.True(!*wholeEnded)
	})
}

// Load pattern: callers that don't take their answers, beside requests that come.
func TestAnswersTakeTheirShareOnly(t *testing.T) {
	is := is.New(t)
	b := &Budget{Bytes: testBudget}
	for b.Open(Answers, nil).Grow(256 << 10) {
	}
	is.True(b.Usage(Answers).Bytes <= testBudget*answerShare)
	is.True(b.Open(Bodies, nil).Grow(4 << 20))
}

// Guards against a request that waits for long for one that has to end but does not.
func TestWaitForRoomIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := &Budget{Bytes: testBudget}
		stuck := b.Open(Bodies, func() {})
		is.True(stuck.Grow(10 << 20))
		time.Sleep(time.Second)
		start := time.Now()
		is.True(!b.Open(Bodies, func() {}).Grow(4 << 20))
		is.Equal(time.Since(start), growTimeout)
	})
}

// Guards against bytes that are taken beyond the budget, or never given back, by any order of operations.
func TestBudgetAddsUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := rand.New(rand.NewPCG(1, 0))
		b := &Budget{Bytes: testBudget}
		open := make(map[*Hold]bool)
		for range 5000 {
			if len(open) < 30 {
				h, _ := openRequest(b)
				open[h] = true
			}
			for h := range open {
				switch r.IntN(20) {
				case 0:
					h.Release()
					delete(open, h)
				case 1:
					h.Finish()
				case 2:
					h.End()
				default:
					if !h.Grow(r.Int64N(1 << 20)) {
						h.Release()
						delete(open, h)
					}
				}
				var used int64
				for k := range kinds {
					used += b.Usage(k).Bytes
				}
				is.True(used <= testBudget)
				b.mu.Lock()
				is.True(b.leaving >= 0)
				b.mu.Unlock()
				break
			}
		}
		for h := range open {
			h.Release()
		}
		time.Sleep(time.Second)
		is.Equal(b.Usage(Bodies).Bytes, int64(0))
		is.Equal(b.leaving, int64(0))
		is.Equal(len(b.unfinished), 0)
	})
}

// Guards against bounds that a small or an unlimited process can't keep.
func TestLimits(t *testing.T) {
	is := is.New(t)
	is.Equal(Limits{}.MaxConnections(0.5), 0)
	is.Equal(Limits{}.NewBudget().Size(), int64(defaultBudgetBytes))
	is.Equal(Limits{Descriptors: 4100}.MaxConnections(0.5), 1950)
	is.Equal(Limits{Descriptors: 400}.MaxConnections(0.5), 150)
	is.Equal(Limits{Descriptors: 4100, MemoryBytes: 136 << 20}.MaxConnections(0.5), 1740)
}
