package sim

import (
	"cmp"
	"slices"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Cost of one step of the engine model: a fixed part, a part for each sequence that gets a token, and a part for each
// prompt token that is processed. With these a full batch of short answers runs at about 40 ms between tokens.
const (
	stepBase      = 12 * time.Millisecond
	stepSequence  = 250 * time.Microsecond
	stepPrefill   = 40 * time.Microsecond
	prefillBudget = 512 // prompt tokens in one step
	maxBatch      = 96  // sequences that run at once
	maxHistory    = 64  // samples of the load; more than any lag
	blockTokens   = 64  // prompt tokens of one cached block
	cacheBlocks   = 4096
)

// A sequence is the run of one attempt on an engine.
type sequence struct {
	req      *request
	vm       *vm
	priority int
	order    uint64
	produced int // tokens of the answer so far, with those of earlier attempts
	prefill  int // prompt tokens left to process
	done     bool
}

// An engine batches continuously: each step gives one token to each running sequence whose prompt is processed.
type engine struct {
	name    deck.BackendName
	dc      int
	s       *schedule
	fleet   *fleet
	slow    float64 // factor on step times; 1 is normal
	waiting []*sequence
	running []*sequence
	busy    bool
	order   uint64
	cache   blockCache
	history []deck.EngineReport // latest last, for reports that lag
	events  []deck.CacheEvent
}

// submit queues an attempt by priority and then arrival.
func (e *engine) submit(q *sequence) {
	e.order++
	q.order = e.order
	i, _ := slices.BinarySearchFunc(e.waiting, q, func(a, b *sequence) int {
		return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.order, b.order))
	})
	e.waiting = slices.Insert(e.waiting, i, q)
	e.step()
}

// cancel removes an attempt.
func (e *engine) cancel(q *sequence) {
	q.done = true
	is := func(x *sequence) bool { return x == q }
	e.waiting = slices.DeleteFunc(e.waiting, is)
	e.running = slices.DeleteFunc(e.running, is)
}

// step starts the next step if there is work and none is running.
func (e *engine) step() {
	if e.busy {
		return
	}
	for len(e.waiting) > 0 && len(e.running) < maxBatch {
		q := e.waiting[0]
		e.waiting = e.waiting[1:]
		q.prefill = e.uncached(q)
		e.running = append(e.running, q)
	}
	if len(e.running) == 0 {
		return
	}
	e.busy = true
	decode, prefilled, tokens := e.plan()
	d := stepBase + time.Duration(len(decode))*stepSequence + time.Duration(tokens)*stepPrefill
	d = time.Duration(float64(d) * e.slow)
	e.s.after(d, func() { e.finish(append(decode, prefilled...)) })
}

// plan returns the sequences that get a token in this step: those that decode and those whose prompt becomes complete.
func (e *engine) plan() (decode, prefilled []*sequence, tokens int) {
	var pending []*sequence
	for _, q := range e.running {
		if q.prefill > 0 {
			pending = append(pending, q)
		} else {
			decode = append(decode, q)
		}
	}
	slices.SortStableFunc(pending, func(a, b *sequence) int { return cmp.Compare(b.priority, a.priority) })
	for _, q := range pending {
		n := min(q.prefill, prefillBudget-tokens)
		q.prefill -= n
		tokens += n
		if q.prefill == 0 {
			prefilled = append(prefilled, q)
		}
	}
	return decode, prefilled, tokens
}

// finish hands the step's tokens to the VMs and begins the next step.
func (e *engine) finish(got []*sequence) {
	e.busy = false
	byVM := make([][]*sequence, len(e.fleet.vms))
	for _, q := range got {
		if q.done {
			continue
		}
		byVM[q.vm.index] = append(byVM[q.vm.index], q)
		q.produced++
		if q.produced >= q.req.output {
			q.done = true
		}
	}
	e.running = slices.DeleteFunc(e.running, func(q *sequence) bool { return q.done })
	for i, qs := range byVM {
		if len(qs) > 0 {
			v := e.fleet.vms[i]
			e.s.after(e.fleet.path(e.dc, v.dc), func() { v.tokens(qs) })
		}
	}
	e.step()
}

// uncached returns the prompt and answer tokens to process before the next token, and stores them in the cache.
func (e *engine) uncached(q *sequence) int {
	r := q.req
	hit := 0
	for _, p := range r.prefixes {
		if !e.cache.has(p) {
			break
		}
		hit += blockTokens
	}
	for _, p := range r.prefixes {
		if added, evicted := e.cache.add(p); added {
			e.record(p, false)
			if evicted != 0 {
				e.record(evicted, true)
			}
		}
	}
	return max(1, r.prompt+q.produced-hit)
}

func (e *engine) record(prefix uint64, evicted bool) {
	n := uint64(len(e.events)) + 1
	e.events = append(e.events, deck.CacheEvent{Sequence: n, Prefix: prefix, Evicted: evicted})
}

// sample keeps the present load for reports that lag.
func (e *engine) sample() {
	r := deck.EngineReport{Backend: e.name, BootID: "1", TakenAt: e.s.Now(), Running: len(e.running), Queued: len(e.waiting)}
	if len(e.history) >= maxHistory {
		e.history = slices.Delete(e.history, 0, maxHistory/2)
	}
	e.history = append(e.history, r)
}

// report returns the newest sample that is older than the lag.
func (e *engine) report(lag time.Duration) (deck.EngineReport, bool) {
	limit := e.s.Now().Add(-lag)
	for _, r := range slices.Backward(e.history) {
		if !r.TakenAt.After(limit) {
			return r, true
		}
	}
	return deck.EngineReport{}, false
}

// A blockCache holds the most recently added prompt blocks.
type blockCache struct {
	held  map[uint64]struct{}
	order []uint64
}

func (c *blockCache) has(p uint64) bool {
	_, ok := c.held[p]
	return ok
}

// add stores a block and returns the one that it evicts, or zero.
func (c *blockCache) add(p uint64) (added bool, evicted uint64) {
	if c.held == nil {
		c.held = make(map[uint64]struct{})
	}
	if c.has(p) {
		return false, 0
	}
	c.held[p] = struct{}{}
	c.order = append(c.order, p)
	if len(c.order) > cacheBlocks {
		evicted = c.order[0]
		c.order = c.order[1:]
		delete(c.held, evicted)
	}
	return true, evicted
}
