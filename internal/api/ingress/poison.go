package ingress

import (
	"slices"
	"sync"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/blame"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	// aloneAfter is how long after the last answer of a leader this VM judges parts of prompts by the crashes that it saw itself.
	aloneAfter = 3 * time.Second

	trialTime = 10 * time.Second // in which a request that the leader lets through may be sent

	maxUnconfirmed = 256 // crashes kept until the leader confirms them; the oldest are dropped beyond that
)

// A Fingerprint identifies a request by its path and body.
type Fingerprint uint64

// A PoisonDetector refuses requests that crash servers, by their fingerprint or by a part of their prompt that is to blame. It shares
// what it observes with the other VMs through the leader, and decides by itself while there is none. Its zero value is empty.
type PoisonDetector struct {
	mu       sync.Mutex
	ledger   blame.Ledger // of the crashes that this VM observed
	proofs   blame.Proofs
	verdicts blame.Verdicts
	trials   map[uint64]time.Time // when the permission to send one request with a suspect ends
	blamed   map[uint64]bool      // parts that are to blame but not refused yet
	watched  map[uint64]bool      // parts that are one crash short of a verdict; the leader wants to know whether they are sound
	isolated map[uint64]bool      // watched parts of calls in progress; see Isolate

	term       uint64    // of the leader that answered last
	appliedAt  time.Time // when that answer came
	reportedAt time.Time // when the last report was made

	// Observed crashes, oldest first. The leader of the term has the first ones, their number being confirmed; the last report
	// carried those up to reported.
	crashes             []observedCrash
	confirmed, reported int

	// Suspects that are sound. The last report carried the first ones, their number being clearedReported.
	cleared         []uint64
	clearedReported int
}

type observedCrash struct {
	deck.Crash
	at time.Time
}

// An InterruptedCall is a call whose server broke the connection.
type InterruptedCall struct {
	Fingerprint Fingerprint
	Server      deck.Server
	Parts       []uint64  // of the call that may be to blame
	SentAt      time.Time // to the server
	Began       bool      // the server had begun to answer
}

// RecordCrash records a possible crash of a server that this VM has observed.
func (p *PoisonDetector) RecordCrash(now time.Time, call InterruptedCall) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := deck.Crash{
		RequestFingerprint: uint64(call.Fingerprint), Server: call.Server.ID, StartUnixMs: call.Server.StartUnixMs,
		Parts: p.proofs.Unproven(now, call.Parts), Began: call.Began, Elapsed: now.Sub(call.SentAt),
	}
	p.crashes = append(p.crashes, observedCrash{c, now})
	if len(p.crashes) > maxUnconfirmed {
		p.crashes = p.crashes[1:]
		p.confirmed, p.reported = max(0, p.confirmed-1), max(0, p.reported-1)
	}
	if p.ledger.Record(now, c) {
		p.verdicts.Add(now, c.RequestFingerprint)
	}
}

// RecordCompletion records that a request with the given parts of its prompt was answered in full.
func (p *PoisonDetector) RecordCompletion(now time.Time, f Fingerprint, parts []uint64) {
	p.RecordSound(now, parts)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.verdicts.Has(now, uint64(f)) {
		p.clear(now, uint64(f))
	}
}

// RecordSound records that a server has written an answer on a prompt with the given parts, so far that they don't crash it.
func (p *PoisonDetector) RecordSound(now time.Time, parts []uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, part := range parts {
		p.proofs.Add(now, part)
		if p.watched[part] || p.verdicts.Has(now, part) {
			p.clear(now, part)
		}
	}
}

// clear withdraws what is held against a suspect, here and at the leader.
func (p *PoisonDetector) clear(now time.Time, suspect uint64) {
	p.verdicts.Lift(now, suspect)
	p.ledger.Clear(now, suspect)
	delete(p.watched, suspect)
	delete(p.blamed, suspect)
	p.withdraw(suspect)
}

// withdraw reports a suspect to the leader as sound.
func (p *PoisonDetector) withdraw(suspect uint64) {
	if !slices.Contains(p.cleared, suspect) {
		p.cleared = append(p.cleared, suspect)
	}
}

// Refuses reports whether a request must be refused, because it, or a part of its prompt, crashes servers. trial says that the request
// is let through once to see whether that still holds; it must not be sent again.
func (p *PoisonDetector) Refuses(now time.Time, f Fingerprint, parts []uint64) (refused, trial bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	alone := now.Sub(p.appliedAt) > aloneAfter
	suspects := append([]uint64{uint64(f)}, parts...)
	for i, suspect := range suspects {
		known := p.verdicts.Contains(now, suspect)
		if known && p.mayTry(now, suspect) {
			trial = true
			continue
		}
		if known || i > 0 && alone && p.ledger.BlamesPart(suspect) && !p.proofs.Contains(now, suspect) {
			return true, false
		}
	}
	return false, trial
}

// Isolate reports whether a call with the suspects may begin: of those that are one crash short of a verdict, each is in one call of this VM
// at a time. The caller must call release at the end of the call.
func (p *PoisonDetector) Isolate(suspects []uint64) (release func(), ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var claimed []uint64
	for _, suspect := range suspects {
		if p.watched[suspect] && p.isolated[suspect] {
			return nil, false
		}
		if p.watched[suspect] {
			claimed = append(claimed, suspect)
		}
	}
	if p.isolated == nil {
		p.isolated = make(map[uint64]bool)
	}
	for _, suspect := range claimed {
		p.isolated[suspect] = true
	}
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, suspect := range claimed {
			delete(p.isolated, suspect)
		}
	}, true
}

// IsOneCrashShort reports whether one of the suspects is one crash short of a verdict.
func (p *PoisonDetector) IsOneCrashShort(suspects []uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(suspects, func(suspect uint64) bool { return p.watched[suspect] })
}

// IsBlamed reports whether one of the suspects is to blame for crashes, though not refused yet.
func (p *PoisonDetector) IsBlamed(suspects []uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(suspects, func(suspect uint64) bool { return p.blamed[suspect] })
}

// IsSuspect reports whether a request, or a part of its prompt, may crash servers.
func (p *PoisonDetector) IsSuspect(now time.Time, f Fingerprint, parts []uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(append([]uint64{uint64(f)}, parts...), func(suspect uint64) bool {
		return p.watched[suspect] || p.verdicts.Contains(now, suspect) ||
			p.ledger.BlamesPart(suspect) && !p.proofs.Contains(now, suspect)
	})
}

// mayTry uses up the permission to send one request with a suspect, and reports whether there was one.
func (p *PoisonDetector) mayTry(now time.Time, suspect uint64) bool {
	end, ok := p.trials[suspect]
	delete(p.trials, suspect)
	return ok && now.Before(end)
}

// Report returns what the leader has not confirmed yet. It is repeated until Apply is called.
func (p *PoisonDetector) Report(now time.Time) deck.BlameReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := deck.BlameReport{Verdicts: p.verdicts.List(now), Cleared: p.cleared[:len(p.cleared):len(p.cleared)]}
	for _, c := range p.crashes[p.confirmed:] {
		c.Age = now.Sub(c.at)
		c.Parts = slices.DeleteFunc(slices.Clone(c.Parts), func(part uint64) bool { return p.proofs.ContainsAfter(c.at, part) })
		r.Crashes = append(r.Crashes, c.Crash)
	}
	p.reported, p.clearedReported, p.reportedAt = len(p.crashes), len(p.cleared), now
	return r
}

// Apply takes over what the leader answered to the last report. All crashes are reported again to a new leader. With a Term of 0 the answer
// is not to the last report, so that only its verdicts count.
func (p *PoisonDetector) Apply(now time.Time, v deck.BlameView) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v.Term == 0 {
		p.verdicts.Merge(now, p.withoutProven(now, v.Verdicts))
		return
	}
	p.appliedAt = now
	known := p.confirmed // only to the leader before, if the term is new
	p.confirmed = p.reported
	if v.Term != p.term {
		p.term = v.Term
		if known > 0 {
			p.confirmed = 0
		}
	}
	p.reported = p.confirmed
	p.cleared = p.cleared[p.clearedReported:]
	p.clearedReported = 0
	p.watched = make(map[uint64]bool, len(v.Watched))
	for _, part := range v.Watched {
		p.watched[part] = true
		if p.proofs.Contains(now, part) {
			p.clear(now, part)
		}
	}
	p.blamed = make(map[uint64]bool, len(v.Blamed))
	for _, part := range v.Blamed {
		p.blamed[part] = !p.proofs.Contains(now, part)
	}
	if p.trials == nil {
		p.trials = make(map[uint64]time.Time)
	}
	for _, suspect := range v.Trials {
		p.trials[suspect] = now.Add(trialTime)
	}
	p.verdicts.Retain(p.reportedAt, v.Verdicts)
	p.verdicts.Merge(now, p.withoutProven(now, v.Verdicts))
}

// withoutProven returns the verdicts but for those that calls of this VM contradict, which it withdraws at the leader.
func (p *PoisonDetector) withoutProven(now time.Time, verdicts []deck.Verdict) []deck.Verdict {
	return slices.DeleteFunc(slices.Clone(verdicts), func(v deck.Verdict) bool {
		proven := p.proofs.Contains(now, v.Suspect)
		if proven {
			p.withdraw(v.Suspect)
		}
		return proven
	})
}
