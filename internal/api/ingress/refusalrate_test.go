package ingress

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Load pattern: demand exceeds all slots for several seconds. Guards against refused callers that retry within the same peak and
// are refused again until their deadline.
func TestRetryAfterGrowsWithRefusals(t *testing.T) {
	is := is.New(t)
	const remaining = 12 * time.Second
	now := time.Unix(1000, 0)
	calm, peak := &refusalRate{}, &refusalRate{}
	var first, last time.Duration
	for i := range 60 {
		now = now.Add(50 * time.Millisecond)
		calm.recordCall(now)
		peak.recordCall(now)
		if i%20 == 19 {
			first = calm.recordRefusal(now, remaining, fullRetryAfter)
		}
		if i%4 != 0 {
			last = peak.recordRefusal(now, remaining, fullRetryAfter)
		}
	}
	is.True(first < 1200*time.Millisecond)
	is.True(last > 1800*time.Millisecond)
	is.True(last <= remaining/4)
	is.True(peak.recordRefusal(now.Add(10*time.Second), remaining, fullRetryAfter) < 1500*time.Millisecond) // the peak is over
	is.Equal(peak.recordRefusal(now, time.Second, fullRetryAfter), fullRetryAfter)
}
