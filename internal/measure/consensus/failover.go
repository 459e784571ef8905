package consensus

import (
	"slices"
	"time"
)

// A Failover is the time from a leader's crash until its successor has committed a command, over a number of runs.
type FailoverTimes struct {
	Runs int
	P50  time.Duration
	Max  time.Duration
}

// Bounds of a failover run.
const (
	maxCrashDelay   = 3 * time.Second // the crash time is random so that it falls into any phase of the heartbeats
	failoverTimeout = time.Minute
)

// LeaderFailover measures three replicas whose messages take the given one-way latency, in virtual time.
func LeaderFailover(seed uint64, runs int, latency time.Duration) FailoverTimes {
	times := make([]time.Duration, 0, runs)
	for run := range runs {
		times = append(times, failoverTime(newVirtualCluster(seed, uint64(run), latency)))
	}
	slices.Sort(times)
	return FailoverTimes{Runs: runs, P50: times[len(times)/2], Max: times[len(times)-1]}
}

func failoverTime(v *virtualCluster) time.Duration {
	leader := v.commitCommand(nil)
	v.runFor(time.Duration(v.rand.Int64N(int64(maxCrashDelay))))
	leader = v.commitCommand(leader)
	leader.core = nil
	start := v.now
	v.commitCommand(nil)
	return v.now.Sub(start)
}
