package inbound

import (
	"sync"
	"time"
)

// A Kind is the kind of bytes that a hold counts.
type Kind int

// Kinds of bytes.
const (
	Heads   Kind = iota // heads of requests and what they take when decoded
	Bodies              // bodies of requests
	Answers             // answers that were read from backend servers and wait for their callers
	kinds
)

// String returns the name of the kind.
func (k Kind) String() string {
	return [kinds]string{"heads", "bodies", "answers"}[k]
}

const (
	defaultBudgetBytes = 256 << 20 // if the process's memory is not bounded

	// smallBytes is the size up to which a hold may use the reserve.
	smallBytes   = 64 << 10
	reserveShare = 0.25 // of the budget, for small holds
	answerShare  = 0.25 // of the budget, at most, for answers

	// growTimeout is how long a hold waits for the bytes of those that have to end for it.
	growTimeout = 250 * time.Millisecond

	// minAge is added to the age of a hold, so that new ones are compared by their sizes.
	minAge = 100 * time.Millisecond
)

// A Budget bounds the bytes that a process holds for its clients. If there are too few left, the unfinished request that has held the
// most for longest has to end. A nil Budget bounds nothing.
type Budget struct {
	Bytes int64 // 0 for a default

	mu         sync.Mutex
	used       [kinds]int64
	leaving    int64              // held by requests that have to end
	unfinished map[*Hold]struct{} // that may have to end
	freed      chan struct{}      // closed at the next release; nil if nobody waits
	refused    [kinds]int64       // holds that were refused bytes
	ended      [kinds]int64       // holds that had to end for others
}

// A Hold is a part of a budget that one request takes. A nil Hold takes nothing.
type Hold struct {
	budget *Budget
	kind   Kind
	since  time.Time
	stop   func() // ends the request, without waiting for it; nil if it may not have to end
	bytes  int64
	ended  bool // the request has to end
}

// Open returns an empty hold. While its request is unfinished, stop is called if it has to end; it must not wait, nor call the budget.
// A nil stop means that the request is finished.
func (b *Budget) Open(k Kind, stop func()) *Hold {
	if b == nil {
		return nil
	}
	h := &Hold{budget: b, kind: k, since: time.Now(), stop: stop}
	if stop == nil {
		return h
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.unfinished == nil {
		b.unfinished = make(map[*Hold]struct{})
	}
	b.unfinished[h] = struct{}{}
	return h
}

// Size returns the bytes that the budget has.
func (b *Budget) Size() int64 {
	if b.Bytes > 0 {
		return b.Bytes
	}
	return defaultBudgetBytes
}

// Grow takes n more bytes and reports whether they may be used. It waits for a moment if other requests have to end for them.
func (h *Hold) Grow(n int64) bool {
	if h == nil {
		return true
	}
	ok, freed := h.tryGrow(n)
	if ok || freed == nil {
		return ok
	}
	timer := time.NewTimer(growTimeout)
	defer timer.Stop()
	for {
		select {
		case <-freed:
		case <-timer.C:
			h.budget.countRefusal(h.kind)
			return false
		}
		if ok, freed = h.tryGrow(n); ok || freed == nil {
			return ok
		}
	}
}

// tryGrow takes n more bytes if there are enough. Otherwise freed is closed when some more are, or nil if the hold is refused.
func (h *Hold) tryGrow(n int64) (ok bool, freed <-chan struct{}) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.ended {
		return false, nil
	}
	missing := b.missing(h, n)
	if missing <= 0 {
		h.bytes += n
		b.used[h.kind] += n
		return true, nil
	}
	if h.kind == Answers || !b.makeRoom(h, n, missing) {
		b.refused[h.kind]++
		return false, nil
	}
	if b.freed == nil {
		b.freed = make(chan struct{})
	}
	return false, b.freed
}

// missing returns how many bytes are missing for n more of a hold.
func (b *Budget) missing(h *Hold, n int64) int64 {
	limit, total := b.Size(), n
	for _, used := range b.used {
		total += used
	}
	if h.bytes+n > smallBytes {
		limit -= int64(reserveShare * float64(b.Size()))
	}
	missing := total - limit
	if h.kind == Answers {
		missing = max(missing, b.used[Answers]+n-int64(answerShare*float64(b.Size())))
	}
	return missing
}

// makeRoom ends unfinished requests until the missing bytes are about to be released. It reports false if the hold's own request is
// the one that has to end.
func (b *Budget) makeRoom(h *Hold, n, missing int64) bool {
	for b.leaving < missing {
		victim, most := h, h.weight(n)
		for other := range b.unfinished {
			if weight := other.weight(0); weight > most {
				victim, most = other, weight
			}
		}
		if victim == h {
			return false
		}
		b.end(victim)
	}
	return true
}

// weight returns the bytes times the time for which a hold has them, with n more bytes.
func (h *Hold) weight(n int64) float64 {
	return float64(h.bytes+n) * (time.Since(h.since) + minAge).Seconds()
}

// end makes the request of an unfinished hold end. The caller holds the lock.
func (b *Budget) end(h *Hold) {
	h.ended = true
	b.leaving += h.bytes
	b.ended[h.kind]++
	delete(b.unfinished, h)
	h.stop()
}

// End makes the hold's request end if it is unfinished, and reports whether it was.
func (h *Hold) End() bool {
	if h == nil {
		return false
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	_, ok := b.unfinished[h]
	if ok {
		b.end(h)
	}
	return ok
}

// EndOldestBody makes the oldest unfinished body's request end, and reports whether there was one.
func (b *Budget) EndOldestBody() bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var oldest *Hold
	for h := range b.unfinished {
		if h.kind == Bodies && (oldest == nil || h.since.Before(oldest.since)) {
			oldest = h
		}
	}
	if oldest != nil {
		b.end(oldest)
	}
	return oldest != nil
}

// Shrink gives n bytes back.
func (h *Hold) Shrink(n int64) {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.shrink(n)
}

func (h *Hold) shrink(n int64) {
	b := h.budget
	h.bytes -= n
	b.used[h.kind] -= n
	if h.ended {
		b.leaving -= n
	}
	if n > 0 && b.freed != nil {
		close(b.freed)
		b.freed = nil
	}
}

// Finish says that the request has arrived as a whole, after which it does not have to end for others. It reports false if it has to.
func (h *Hold) Finish() bool {
	if h == nil {
		return true
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	delete(h.budget.unfinished, h)
	return !h.ended
}

// Release gives all bytes back.
func (h *Hold) Release() {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	delete(h.budget.unfinished, h)
	h.shrink(h.bytes)
}

func (b *Budget) countRefusal(k Kind) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refused[k]++
}

// Usage tells how a budget is used by one kind of bytes.
type Usage struct {
	Bytes   int64
	Refused int64 // requests that got no bytes, since the start
	Ended   int64 // unfinished requests that had to end for others, since the start
}

// Usage returns how the budget is used by a kind of bytes.
func (b *Budget) Usage(k Kind) Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{Bytes: b.used[k], Refused: b.refused[k], Ended: b.ended[k]}
}
