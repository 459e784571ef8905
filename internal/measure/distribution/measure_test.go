package distribution

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a measurement that fails or yields a negative figure because a measured part no longer runs.
func TestFiguresArePositive(t *testing.T) {
	tests := map[string]func() ([]Figure, error){
		"ticket-in-force": func() ([]Figure, error) { return TicketInForce(t.Context(), 8, 1) },
		"feed":            func() ([]Figure, error) { return FeedCost(t.Context(), 8, 2, time.Millisecond) },
		"state":           func() ([]Figure, error) { return StateMemory(35) },
		"calls":           func() ([]Figure, error) { return CallCost(100, 1000) },
	}
	for name, run := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			figures, err := run()
			is.NoErr(err)
			for _, f := range figures {
				t.Logf("%s %.2f %s", f.Name, f.Value, f.Unit)
				is.True(f.Value >= 0)
			}
		})
	}
}
