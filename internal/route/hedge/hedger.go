package hedge

import (
	"sync"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	// usefulWinShare is the share of second sends that win from which on they are worth the whole limit; where fewer win, fewer are sent.
	usefulWinShare = 0.25

	// leastUse is the part of the limit that is used however few win, so that a change is noticed.
	leastUse = 0.1

	winDecay  = 30 * time.Second // time constant of the counts of second sends and of those that won
	priorWins = 4.0              // second sends that are taken to have won before there are any
)

// A Key identifies the calls whose answers are expected to take about as long.
type Key struct {
	Route string
	Model deck.ModelName // empty for plain services
}

// Counts are the counts of second sends since the start.
type Counts struct {
	Sent         int64 // calls sent to a second server
	Won          int64 // of them, those that the second server answered
	Cancelled    int64 // sends that were cancelled because the other one had won
	Limited      int64 // second sends that the share or the retry budget did not allow
	WastedTokens int64 // of the prompts of cancelled sends
}

// A Hedger decides about second sends for one entry VM. Its zero value, and nil, allow none. It is safe for concurrent use.
type Hedger struct {
	mu       sync.Mutex
	limit    limiter
	delays   delayTable
	pressure map[deck.ServiceName]*pressure
	silences map[deck.BackendName]time.Time // when the first send was made that the server has left unanswered
	counts   Counts
}

// SetLimit sets the largest share of second sends among the calls of a window; 0 allows none. It must be called before use.
func (h *Hedger) SetLimit(share float64, window time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limit.share, h.limit.window = share, window
}

// Enabled reports whether second sends are allowed at all.
func (h *Hedger) Enabled() bool {
	if h == nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.limit.share > 0
}

// RecordCall counts a call that is sent for the first time.
func (h *Hedger) RecordCall(now time.Time, s deck.ServiceName) {
	if !h.Enabled() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limit.recordCall(now)
	h.pressureOf(s).calls.inc(now)
}

// RecordTurnedAway counts a call that no server had room for, or that a server refused for lack of room.
func (h *Hedger) RecordTurnedAway(now time.Time, s deck.ServiceName) {
	if !h.Enabled() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pressureOf(s).turnedAway.inc(now)
}

// RecordLatency records the time from a send to the beginning of its answer, or to its cancellation if that came before.
func (h *Hedger) RecordLatency(now time.Time, k Key, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.delays.record(now, k, d)
}

// Delay returns how long after its send a call's answer counts as late. It returns false while that is unknown.
func (h *Hedger) Delay(now time.Time, k Key) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.delays.delay(now, k, h.limit.share)
}

// Allows reports whether a late call of the service may be sent to a second server now: its limit has room, and the servers have too.
func (h *Hedger) Allows(now time.Time, s deck.ServiceName) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.pressureOf(s).isOverload(now) {
		return false
	}
	if !h.limit.hasRoom(now) {
		h.counts.Limited++
		return false
	}
	return true
}

// TakeSend takes a second send from the limit, unless takeRetry, which takes one from the retry budget, returns false.
func (h *Hedger) TakeSend(now time.Time, takeRetry func() bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.limit.hasRoom(now) || !takeRetry() {
		h.counts.Limited++
		return false
	}
	h.limit.recordSend(now)
	h.counts.Sent++
	return true
}

// RecordEnd records the end of a call that was sent to two servers: whether the second one answered it, and the tokens of the prompt if
// the other send was cancelled.
func (h *Hedger) RecordEnd(now time.Time, k Key, won, cancelled bool, tokens int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.delays.recordEnd(now, k, won)
	if won {
		h.counts.Won++
	}
	if cancelled {
		h.counts.Cancelled++
		h.counts.WastedTokens += int64(tokens)
	}
}

// Silence records that a send to the server was cancelled without an answer, and returns for how long the server has left such sends
// unanswered; answeredSince reports whether it has answered any since a given time.
func (h *Hedger) Silence(now time.Time, s deck.BackendName, sentAt time.Time, answeredSince func(time.Time) bool) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	first, ok := h.silences[s]
	if !ok || now.Sub(first) > maxSilence || answeredSince(first) {
		first = sentAt
	}
	if answeredSince(first) {
		delete(h.silences, s)
		return 0
	}
	if len(h.silences) >= maxSilences {
		clear(h.silences)
	}
	if h.silences == nil {
		h.silences = make(map[deck.BackendName]time.Time)
	}
	h.silences[s] = first
	return now.Sub(first)
}

const (
	maxSilence  = 10 * time.Second // after which an unanswered send says nothing about the server any more
	maxSilences = 1024
)

// Counts returns the counts since the start.
func (h *Hedger) Counts() Counts {
	if h == nil {
		return Counts{}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.counts
}

// pressureOf returns the pressure on a service. The caller holds the lock.
func (h *Hedger) pressureOf(s deck.ServiceName) *pressure {
	p := h.pressure[s]
	if p == nil {
		if h.pressure == nil {
			h.pressure = make(map[deck.ServiceName]*pressure)
		}
		p = &pressure{calls: decayingCount{decay: pressureDecay}, turnedAway: decayingCount{decay: pressureDecay}}
		h.pressure[s] = p
	}
	return p
}
