package hub

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

var (
	_ deck.BlameTable      = (*Publisher)(nil)
	_ deck.VerdictRegistry = (*Publisher)(nil)
)

// lastSeenStep is the step in which it is saved that requests with a refused suspect still come.
const lastSeenStep = time.Minute

// RestoreBlame implements deck.BlameTable.RestoreBlame. A leader adds the state to its table.
func (p *Publisher) RestoreBlame(s deck.BlameState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.Revision <= p.savedBlame.Revision {
		return
	}
	p.savedBlame, p.savedBlameAt = s, p.o.Clock.Now()
	if p.blameTerm != 0 {
		p.blame.restore(p.savedBlameAt, s)
	}
}

// enterBlameTerm starts the table of a new term with what the log has of the terms before; entry VMs tell each new leader what they know.
// The caller holds p.mu.
func (p *Publisher) enterBlameTerm(term uint64) {
	if term == p.blameTerm {
		return
	}
	p.blame, p.blameTerm = blameTable{}, term
	p.blame.restore(p.savedBlameAt, p.savedBlame)
	if now := p.o.Clock.Now(); len(p.savedBlame.Crashes)+len(p.savedBlame.Verdicts) > 0 {
		p.o.Logger.Info("crashes and verdicts taken over from an earlier term", "term", term, "revision", p.savedBlame.Revision,
			"age-ms", now.Sub(p.savedBlameAt).Milliseconds(), "crashes", len(p.savedBlame.Crashes), "verdicts", len(p.blame.verdicts.List(now)))
	}
}

// TakeUnsavedBlame implements deck.BlameTable.TakeUnsavedBlame.
func (p *Publisher) TakeUnsavedBlame() (s deck.BlameState, ok bool) {
	term, leading := p.leads()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !leading || term != p.blameTerm || !p.blame.takeChange(p.o.Clock.Now()) {
		return deck.BlameState{}, false
	}
	s = p.blame.state(p.o.Clock.Now())
	s.Revision = p.savedBlame.Revision + 1
	return s, true
}

// ReturnUnsavedBlame implements deck.BlameTable.ReturnUnsavedBlame.
func (p *Publisher) ReturnUnsavedBlame() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blame.unsaved = true
}

// Verdicts implements deck.VerdictRegistry.Verdicts. On a VM that doesn't lead it returns those that were saved last.
func (p *Publisher) Verdicts() []deck.Verdict {
	term, leading := p.leads()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !leading {
		return p.savedVerdicts()
	}
	p.enterBlameTerm(term)
	return p.blame.verdicts.List(p.o.Clock.Now())
}

// LiftVerdict implements deck.VerdictRegistry.LiftVerdict.
func (p *Publisher) LiftVerdict(_ context.Context, suspect uint64) (bool, error) {
	term, leading := p.leads()
	if !leading {
		return false, deck.NotLeaderError{Leader: p.o.Log.Status().Leader}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.enterBlameTerm(term)
	now := p.o.Clock.Now()
	p.blame.ledger.Clear(now, suspect)
	p.blame.unsaved = true
	lifted := p.blame.verdicts.Lift(now, suspect)
	p.o.Logger.Info("verdict lifted by an operator", "suspect", formatSuspect(suspect), "found", lifted)
	return lifted, nil
}

// savedVerdicts returns the saved verdicts that still hold. The caller holds p.mu.
func (p *Publisher) savedVerdicts() []deck.Verdict {
	var t blameTable
	t.verdicts.Restore(p.savedBlameAt, p.savedBlame.Verdicts)
	return t.verdicts.List(p.o.Clock.Now())
}

// restore adds what a leader had saved; now is when the ages in it were right.
func (t *blameTable) restore(now time.Time, s deck.BlameState) {
	t.ledger.RestoreCleared(now, s.Cleared)
	t.verdicts.RestoreLifted(now, s.Lifted)
	for _, c := range s.Crashes {
		t.ledger.Restore(now, c)
	}
	t.verdicts.Restore(now, s.Verdicts)
}

func (t *blameTable) state(now time.Time) deck.BlameState {
	return deck.BlameState{
		Crashes: t.ledger.Crashes(now), Verdicts: t.verdicts.Save(now), Cleared: t.ledger.Cleared(now), Lifted: t.verdicts.Lifted(now),
	}
}

// takeChange reports whether the table has changed since the last call. Of requests with refused suspects only every lastSeenStep counts.
func (t *blameTable) takeChange(now time.Time) bool {
	verdicts := t.verdicts.Save(now)
	changed := t.unsaved || len(verdicts) != len(t.savedVerdicts)
	for _, v := range verdicts {
		saved, ok := t.savedVerdicts[v.Suspect]
		changed = changed || !ok || saved.trials != v.Trials || now.Add(-v.Idle).Sub(saved.lastSeen) > lastSeenStep
	}
	if !changed {
		return false
	}
	t.unsaved, t.savedVerdicts = false, make(map[uint64]savedVerdict, len(verdicts))
	for _, v := range verdicts {
		t.savedVerdicts[v.Suspect] = savedVerdict{now.Add(-v.Idle), v.Trials}
	}
	return true
}

// A savedVerdict is what was last saved of a verdict.
type savedVerdict struct {
	lastSeen time.Time
	trials   int
}

// liftFor removes the verdict on a suspect, if there is one, and logs the reason.
func (t *blameTable) liftFor(now time.Time, suspect uint64, log logr.Logger, reason string, more ...any) {
	if t.verdicts.Lift(now, suspect) {
		log.Info("verdict lifted: "+reason, append([]any{"suspect", formatSuspect(suspect)}, more...)...)
	}
	t.unsaved = true
}
