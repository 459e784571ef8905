package ingress

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Load pattern: one customer sends a hundred times the calls of another of the same priority, to a service that has room for a tenth of
// them. Guards against the small customer's calls being refused for the large one's, and against customers of another priority that
// count as competitors.
func TestRoomIsSharedAmongCustomers(t *testing.T) {
	is := is.New(t)
	h := &Handler{}
	now := time.Unix(1000, 0)
	admitted := func(customer deck.Customer) float64 {
		c := &callRun{h: h, start: now, service: "llm", call: deck.Call{PromptTokens: 100, MaxTokens: 50}}
		c.requirements.Model = "m"
		c.shareRoom(customer)
		return c.requirements.Admitted(0.1)
	}
	for range 100 {
		admitted(deck.Customer{Name: "large"})
	}
	is.Equal(admitted(deck.Customer{Name: "small"}), 1.0)
	is.True(admitted(deck.Customer{Name: "large"}) < 0.1)
	is.True(admitted(deck.Customer{Name: "batch", Priority: 6, HasPriority: true}) <= 0.1) // alone, it gets what there is room for
}
