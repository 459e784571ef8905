package consensus

import (
	"slices"
	"time"
)

// A Failover is the time from a leader's crash until its successor has committed a command, over a number of runs.
type Failover struct {
	Runs int
	P50  time.Duration
	Max  time.Duration
}

// Bounds of a failover run.
const (
	crashWithin   = 3 * time.Second // the leader crashes at a random time, so that heartbeats have any phase
	failoverLimit = time.Minute
)

// LeaderFailover measures three replicas whose messages take the given one-way latency, in virtual time.
func LeaderFailover(seed uint64, runs int, latency time.Duration) Failover {
	times := make([]time.Duration, 0, runs)
	for run := range runs {
		times = append(times, failoverOnce(newVirtual(seed, uint64(run), latency)))
	}
	slices.Sort(times)
	return Failover{Runs: runs, P50: times[len(times)/2], Max: times[len(times)-1]}
}

func failoverOnce(v *virtual) time.Duration {
	old := v.commit(nil)
	v.run(time.Duration(v.random.Int64N(int64(crashWithin))))
	old = v.commit(old)
	old.core = nil
	start := v.now
	v.commit(nil)
	return v.now.Sub(start)
}
