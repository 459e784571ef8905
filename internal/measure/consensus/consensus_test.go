package consensus

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards the failover bound of section 10 of the design: a new leader within about 2.5 s.
func TestLeaderFailover(t *testing.T) {
	const seed = 1
	for _, latency := range []time.Duration{time.Millisecond, 30 * time.Millisecond} {
		f := MeasureLeaderFailover(seed, 200, latency)
		t.Logf("leader-failover latency=%s runs=%d p50=%s max=%s seed=%d", latency, f.Runs, f.P50, f.Max, seed)
		is.New(t).True(f.P50 < 2500*time.Millisecond)
		is.New(t).Equal(MeasureLeaderFailover(seed, 3, latency), MeasureLeaderFailover(seed, 3, latency)) // repeatable
	}
}

// Guards against a restarted replica that does not catch up over HTTP, either by a snapshot
// and the entries after it or by entries alone.
func TestCatchUp(t *testing.T) {
	for _, snapshotEntries := range []int{400, 0} {
		d, err := MeasureCatchUp(t.Context(), t.TempDir(), snapshotEntries)
		is.New(t).NoErr(err)
		t.Logf("catch-up-500-tickets snapshot-entries=%d time=%s", snapshotEntries, d)
	}
}
