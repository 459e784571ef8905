package sim

import (
	"cmp"
	"slices"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Parameters of the simulated engine. A step takes a fixed time, a time for each sequence that gets a token and a time for each
// prompt token that is processed; a full batch of short answers has about 40 ms between tokens.
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

// A sequence is the execution of one attempt on an engine.
type sequence struct {
	req         *request
	vm          *vm
	priority    int
	order       uint64
	produced    int // answer tokens so far, including those of earlier attempts
	prefillLeft int // prompt tokens left to process
	done        bool
}

// An engine simulates continuous batching: each step generates one token for each running sequence whose prompt is processed.
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

// submit queues an attempt, in order of priority and then of arrival.
func (e *engine) submit(q *sequence) {
	e.order++
	q.order = e.order
	i, _ := slices.BinarySearchFunc(e.waiting, q, func(a, b *sequence) int {
		return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.order, b.order))
	})
	e.waiting = slices.Insert(e.waiting, i, q)
	e.startStep()
}

// cancel removes an attempt from the queue and from the batch.
func (e *engine) cancel(q *sequence) {
	q.done = true
	isTarget := func(x *sequence) bool { return x == q }
	e.waiting = slices.DeleteFunc(e.waiting, isTarget)
	e.running = slices.DeleteFunc(e.running, isTarget)
}

// startStep fills the batch from the queue and starts the next step if there is work and no step is running.
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

// planStep returns the sequences that get a token in this step, those in decode and those whose prefill completes, and the
// number of prompt tokens that the step processes.
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

// finishStep sends the step's tokens to the VMs, where they arrive after the network latency, and starts the next step.
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

// cachePrompt adds the prompt's blocks to the cache and returns the number of prompt and earlier answer tokens that must be
// processed before the next token, which excludes the blocks that were cached already.
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

// sampleLoad records the current load for lagged reports.
func (e *engine) sampleLoad() {
	r := deck.EngineReport{Backend: e.name, BootID: "1", TakenAt: e.sched.Now(), Running: len(e.running), Queued: len(e.waiting)}
	if len(e.samples) >= maxSamples {
		e.samples = slices.Delete(e.samples, 0, maxSamples/2)
	}
	e.samples = append(e.samples, r)
}

// laggedReport returns the newest load sample that is at least as old as the lag.
func (e *engine) laggedReport(lag time.Duration) (deck.EngineReport, bool) {
	limit := e.sched.Now().Add(-lag)
	for _, r := range slices.Backward(e.samples) {
		if !r.TakenAt.After(limit) {
			return r, true
		}
	}
	return deck.EngineReport{}, false
}

// A blockCache is a first-in, first-out cache of prompt blocks.
type blockCache struct {
	blocks map[uint64]struct{}
	order  []uint64
}

func (c *blockCache) has(p uint64) bool {
	_, ok := c.blocks[p]
	return ok
}

// add adds a block unless it is cached, and returns the block that was evicted for it, or zero.
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
