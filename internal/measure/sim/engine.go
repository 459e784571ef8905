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
	stepBaseTime           = 12 * time.Millisecond
	stepTimePerSequence    = 250 * time.Microsecond
	stepTimePerPromptToken = 40 * time.Microsecond
	maxPrefillTokens       = 512 // in one step
	maxBatch               = 96  // sequences that run concurrently
	maxSamples             = 64  // load samples, which cover more than the longest report lag
	blockTokens            = 64  // prompt tokens of one cached block
	cacheBlocks            = 4096
)

// A sequence is the run of one attempt on an engine.
type sequence struct {
	req         *request
	vm          *vm
	priority    int
	order       uint64
	produced    int // answer tokens so far, including those of earlier attempts
	prefillLeft int // prompt tokens left to process
	done        bool
}

// An engine batches continuously: each step gives one token to each running sequence whose prompt is processed.
type engine struct {
	name     deck.BackendName
	dc       int
	sched    *scheduler
	fleet    *fleet
	slowdown float64 // factor on step times; 1 is full speed
	waiting  []*sequence
	running  []*sequence
	busy     bool // a step is running
	order    uint64
	cache    blockCache
	samples  []deck.EngineReport // of the load, latest last, from which lagged reports are taken
	events   []deck.CacheEvent
}

// submit queues an attempt by priority and then arrival.
func (e *engine) submit(q *sequence) {
	e.order++
	q.order = e.order
	i, _ := slices.BinarySearchFunc(e.waiting, q, func(a, b *sequence) int {
		return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.order, b.order))
	})
	e.waiting = slices.Insert(e.waiting, i, q)
	e.startStep()
}

// cancel removes an attempt.
func (e *engine) cancel(q *sequence) {
	q.done = true
	isTarget := func(x *sequence) bool { return x == q }
	e.waiting = slices.DeleteFunc(e.waiting, isTarget)
	e.running = slices.DeleteFunc(e.running, isTarget)
}

// step starts the next step if there is work and none is running.
func (e *engine) startStep() {
	if e.busy {
		return
	}
	for len(e.waiting) > 0 && len(e.running) < maxBatch {
		q := e.waiting[0]
		e.waiting = e.waiting[1:]
		q.prefillLeft = e.cachePrompt(q)
		e.running = append(e.running, q)
	}
	if len(e.running) == 0 {
		return
	}
	e.busy = true
	decode, prefilled, tokens := e.planStep()
	d := stepBaseTime + time.Duration(len(decode))*stepTimePerSequence + time.Duration(tokens)*stepTimePerPromptToken
	d = time.Duration(float64(d) * e.slowdown)
	e.sched.after(d, func() { e.finishStep(append(decode, prefilled...)) })
}

// plan returns the sequences that get a token in this step: those that decode and those whose prompt becomes complete.
func (e *engine) planStep() (decode, prefilled []*sequence, tokens int) {
	var pending []*sequence
	for _, q := range e.running {
		if q.prefillLeft > 0 {
			pending = append(pending, q)
		} else {
			decode = append(decode, q)
		}
	}
	slices.SortStableFunc(pending, func(a, b *sequence) int { return cmp.Compare(b.priority, a.priority) })
	for _, q := range pending {
		n := min(q.prefillLeft, maxPrefillTokens-tokens)
		q.prefillLeft -= n
		tokens += n
		if q.prefillLeft == 0 {
			prefilled = append(prefilled, q)
		}
	}
	return decode, prefilled, tokens
}

// finish hands the step's tokens to the VMs and begins the next step.
func (e *engine) finishStep(got []*sequence) {
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
			e.sched.after(e.fleet.path(e.dc, v.dc), func() { v.receiveTokens(qs) })
		}
	}
	e.startStep()
}

// uncached returns the prompt and answer tokens to process before the next token, and stores them in the cache.
func (e *engine) cachePrompt(q *sequence) int {
	r := q.req
	hitTokens := 0
	for _, p := range r.prefixes {
		if !e.cache.has(p) {
			break
		}
		hitTokens += blockTokens
	}
	for _, p := range r.prefixes {
		if added, evicted := e.cache.add(p); added {
			e.recordCacheEvent(p, false)
			if evicted != 0 {
				e.recordCacheEvent(evicted, true)
			}
		}
	}
	return max(1, r.prompt+q.produced-hitTokens)
}

func (e *engine) recordCacheEvent(prefix uint64, evicted bool) {
	n := uint64(len(e.events)) + 1
	e.events = append(e.events, deck.CacheEvent{Sequence: n, Prefix: prefix, Evicted: evicted})
}

// sample keeps the present load for reports that lag.
func (e *engine) sampleLoad() {
	r := deck.EngineReport{Backend: e.name, BootID: "1", TakenAt: e.sched.Now(), Running: len(e.running), Queued: len(e.waiting)}
	if len(e.samples) >= maxSamples {
		e.samples = slices.Delete(e.samples, 0, maxSamples/2)
	}
	e.samples = append(e.samples, r)
}

// report returns the newest sample that is older than the lag.
func (e *engine) laggedReport(lag time.Duration) (deck.EngineReport, bool) {
	limit := e.sched.Now().Add(-lag)
	for _, r := range slices.Backward(e.samples) {
		if !r.TakenAt.After(limit) {
			return r, true
		}
	}
	return deck.EngineReport{}, false
}

// A blockCache holds the most recently added prompt blocks.
type blockCache struct {
	blocks map[uint64]struct{}
	order  []uint64
}

func (c *blockCache) has(p uint64) bool {
	_, ok := c.blocks[p]
	return ok
}

// add stores a block and returns the one that it evicts, or zero.
func (c *blockCache) add(p uint64) (added bool, evicted uint64) {
	if c.blocks == nil {
		c.blocks = make(map[uint64]struct{})
	}
	if c.has(p) {
		return false, 0
	}
	c.blocks[p] = struct{}{}
	c.order = append(c.order, p)
	if len(c.order) > cacheBlocks {
		evicted = c.order[0]
		c.order = c.order[1:]
		delete(c.blocks, evicted)
	}
	return true, evicted
}
