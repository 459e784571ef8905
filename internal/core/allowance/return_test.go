package allowance

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/geraniumdeck/geraniumdeck/internal/test/decktest"
)

// A heldCall is a call that has credit and waits for a backend server.
type heldCall struct {
	credit Credit
	until  time.Duration
}

// Load pattern: calls of a customer get credit, wait for a backend server that doesn't come and give it back, before the customer sends far
// more than its allowance. Guards against credit that counts as used, and is replaced, while it may still come back.
func TestFuzzReturnedCredit(t *testing.T) {
	most := 0.0
	decktest.Check(t, func(t *rapid.T) {
		s := newSim(t)
		s.lossy, s.bounds = false, Bounds{Window: 8 * time.Second, Overshoot: 0.1}
		s.customer.Allowance.Burst = 0
		s.lead()
		rate := s.customer.Allowance.PerSecond
		for _, v := range s.vms {
			v.demand, v.cost = 0, 0.005*rate
		}
		s.run(s.bounds.settledTime() + shareLife)
		used := float64(rapid.IntRange(3, 10).Draw(t, "tenths of the rate")) / 10
		wait := time.Duration(rapid.IntRange(50, 2900).Draw(t, "wait-ms")) * time.Millisecond
		for _, v := range s.vms {
			v.demand, v.wait = used*tick.Seconds()/0.005/float64(len(s.vms)), wait
		}
		s.run(time.Duration(rapid.IntRange(500, 6000).Draw(t, "ms")) * time.Millisecond)
		for _, v := range s.vms {
			v.demand, v.wait = 5, 0
		}
		s.run(s.bounds.Window)
		most = max(most, s.check(t))
	})
	if most < 0.7 {
		t.Errorf("at most %.2f of an allowance was used, so that no bound was tested", most)
	}
	if most < 0.7 {
		t.Errorf("at most %.2f of an allowance was used, so that no bound was tested", most)
	}
	t.Logf("at most %.3f of an allowance used", most)
}
