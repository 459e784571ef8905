package statemachine

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/command"
)

// Timeouts and limits of idempotency records.
const (
	ClaimTimeout         = 60 * time.Second // after this time the outcome of a record in progress is unknown
	RecordRetention      = 24 * time.Hour
	MaxEndedRecords      = 1_000_000
	MaxRecordedBodyBytes = 64 << 10 // bytes of a recorded answer's body

	// releasedClaimRetention is how long a released claim is retained, so that a begin-call in flight at the release does
	// not claim the key again. The client stops proposing after ClaimTimeout; twice that covers a delayed message.
	releasedClaimRetention = 2 * ClaimTimeout
	maxReleasedClaims      = 65_536
)

// A record is the idempotency record of one key.
type record struct {
	serial uint64 // distinguishes successive records, also those of one key and claim
	digest string
	claim  string
	vm     deck.VMName
	status deck.ClaimStatus // ClaimInProgress, ClaimFinished or ClaimUnknown
	answer deck.ServiceAnswer
}

// A queueEntry is the position of a record in an expiry queue. It is stale once the key has another record or the record
// has moved to the other queue.
type queueEntry struct {
	key      string
	serial   uint64
	queuedAt time.Time
}

// A releasedClaim is a claim that was released and must not be granted again.
type releasedClaim struct {
	claim    string
	queuedAt time.Time
}

// A callTable holds the idempotency records by key, and the released claims.
type callTable struct {
	records       map[string]*record
	serial        uint64       // of the newest record
	running       []queueEntry // in the order in which the calls began
	ended         []queueEntry // finished and unknown records in the order in which they ended
	endedCount    int          // records that are finished or unknown; ended may also hold stale entries
	released      map[string]bool
	releasedQueue []releasedClaim
	maxEnded      int
}

func newCallTable() callTable {
	return callTable{records: make(map[string]*record), released: make(map[string]bool), maxEnded: MaxEndedRecords}
}

// begin grants the claim if the key is free, and returns the status of the key's record otherwise. A repeated begin-call
// of the claim that holds the key is granted again while the call is in progress.
func (c *callTable) begin(now time.Time, b command.BeginCall) deck.Claim {
	if c.released[b.ClaimID] {
		return deck.Claim{Status: deck.ClaimUnavailable}
	}
	r, ok := c.records[b.Key]
	if !ok {
		c.serial++
		c.records[b.Key] = &record{
			serial: c.serial, digest: b.Digest, claim: b.ClaimID, vm: b.VM, status: deck.ClaimInProgress,
		}
		c.running = append(c.running, queueEntry{b.Key, c.serial, now})
		return deck.Claim{Status: deck.ClaimGranted}
	}
	switch {
	case r.digest != b.Digest:
		return deck.Claim{Status: deck.ClaimMismatch}
	case r.status == deck.ClaimInProgress && r.claim == b.ClaimID:
		return deck.Claim{Status: deck.ClaimGranted}
	default:
		return deck.Claim{Status: r.status, Answer: r.answer}
	}
}

// finish records the outcome of the call for the claim that holds the key; OutcomeNotRun releases the claim instead, so that
// the key is free again. An unknown record still accepts a late answer of its own claim, because that replaces an unknown
// outcome by a known one.
func (c *callTable) finish(now time.Time, f command.FinishCall) error {
	r, ok := c.records[f.Key]
	if f.Answer.Outcome == deck.OutcomeNotRun {
		return c.release(now, f, r)
	}
	if !ok || r.claim != f.ClaimID {
		return errors.Newf("key %q is not held by claim %q", f.Key, f.ClaimID)
	}
	if r.status == deck.ClaimFinished {
		return nil
	}
	if r.status == deck.ClaimInProgress {
		c.moveToEnded(now, f.Key, r)
	}
	if f.Answer.Outcome == deck.OutcomeDone {
		r.status, r.answer = deck.ClaimFinished, f.Answer
	}
	return nil
}

// release deletes the record if the claim holds the key, and marks the claim as released, so that a delayed begin-call of it
// does not claim the key again.
func (c *callTable) release(now time.Time, f command.FinishCall, r *record) error {
	if !c.released[f.ClaimID] {
		c.released[f.ClaimID] = true
		c.releasedQueue = append(c.releasedQueue, releasedClaim{f.ClaimID, now})
	}
	if r == nil || r.claim != f.ClaimID {
		return nil
	}
	if r.status == deck.ClaimFinished {
		return errors.Newf("key %q is finished and can't be released", f.Key)
	}
	if r.status == deck.ClaimUnknown {
		c.endedCount--
	}
	delete(c.records, f.Key)
	return nil
}

// moveToEnded marks a record in progress as unknown and appends it to the ended records.
func (c *callTable) moveToEnded(now time.Time, key string, r *record) {
	r.status = deck.ClaimUnknown
	c.ended = append(c.ended, queueEntry{key, r.serial, now})
	c.endedCount++
}

// expire applies ClaimTimeout and the retention limits as of the given time.
func (c *callTable) expire(now time.Time) {
	for len(c.running) > 0 && !now.Before(c.running[0].queuedAt.Add(ClaimTimeout)) {
		entry := c.running[0]
		c.running = c.running[1:]
		if r := c.lookup(entry); r != nil && r.status == deck.ClaimInProgress {
			c.moveToEnded(now, entry.key, r)
		}
	}
	for len(c.ended) > 0 && (c.endedCount > c.maxEnded || !now.Before(c.ended[0].queuedAt.Add(RecordRetention))) {
		entry := c.ended[0]
		c.ended = c.ended[1:]
		if r := c.lookup(entry); r != nil && r.status != deck.ClaimInProgress {
			delete(c.records, entry.key)
			c.endedCount--
		}
	}
	for len(c.releasedQueue) > maxReleasedClaims ||
		len(c.releasedQueue) > 0 && !now.Before(c.releasedQueue[0].queuedAt.Add(releasedClaimRetention)) {
		delete(c.released, c.releasedQueue[0].claim)
		c.releasedQueue = c.releasedQueue[1:]
	}
}

func (c *callTable) lookup(entry queueEntry) *record {
	if r, ok := c.records[entry.key]; ok && r.serial == entry.serial {
		return r
	}
	return nil
}
