package allowance

import (
	"cmp"
	"slices"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A Usage is what has been granted to this VM for a customer and what its calls have used, in the units of its allowance.
type Usage struct {
	Customer deck.CustomerName
	Granted  float64
	Used     float64
	Refused  int // calls that were refused since the customer was over its allowance
}

// Usage returns the usage of at most n customers, those that used most first.
func (t *Table) Usage(n int) []Usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Usage, 0, len(t.purses))
	for name, p := range t.purses {
		u := p.usage
		u.Customer = name
		out = append(out, u)
	}
	slices.SortFunc(out, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(b.Used, a.Used), cmp.Compare(a.Customer, b.Customer))
	})
	return out[:min(n, len(out))]
}

// limitedTime is the time without a refusal after which a customer no longer counts as limited.
const limitedTime = 2 * time.Second

// recordAdmitted counts a call that was admitted. The caller holds the lock.
func (t *Table) recordAdmitted(now time.Time, name deck.CustomerName, p *purse, cost float64) {
	p.usage.Used += cost
	if p.limited && now.Sub(p.deniedAt) > limitedTime {
		p.limited = false
		t.Log.Info("customer is within its allowance again", "customer", string(name), "refused", p.usage.Refused)
	}
}

// recordRefusal counts a call that was refused since the customer is over its allowance. The caller holds the lock.
func (t *Table) recordRefusal(name deck.CustomerName, p *purse, d Decision) {
	p.usage.Refused++
	if !p.limited {
		p.limited = true
		t.Log.Info("customer is over its allowance", "customer", string(name), "credit-in-ms", d.Wait.Milliseconds())
	}
}

// recordShareUse logs that a call was served from a share of an allowance. The caller holds the lock.
func (t *Table) recordShareUse(name deck.CustomerName) {
	if !t.usesShare {
		t.usesShare = true
		t.Log.Info("no leader grants credit; using the own share of allowances", "customer", string(name),
			"last-answer-ms", t.Clock.Now().Sub(t.heardAt).Milliseconds())
	}
}
