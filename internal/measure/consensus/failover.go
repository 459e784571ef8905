package consensus

import (
	"slices"
	"time"
)

// FailoverTimes holds the median and longest time, over a number of runs, from a leader's crash until its successor has
// committed a command.
type FailoverTimes struct {
	Runs int
	P50  time.Duration
	Max  time.Duration
}

// Limits of a failover run.
const (
	maxCrashDelay   = 3 * time.Second // the crash time is random so that it falls into any phase of the heartbeats
	failoverTimeout = time.Minute
)

// MeasureLeaderFailover measures in virtual time how long three replicas take to replace a crashed leader; their messages have
// the given one-way latency.
func MeasureLeaderFailover(seed uint64, runs int, latency time.Duration) FailoverTimes {
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
