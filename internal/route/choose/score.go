package choose

// A scorer compares the candidates of one choice by cost.
type scorer struct {
	meanOthers float64 // mean of the reported requests of other VMs, used for servers without a report
	meanLoad   float64
	meanGap    float64 // seconds
}

func newScorer(cs []Candidate, pool []int) scorer {
	var s scorer
	reported, gaps := 0, 0
	for _, i := range pool {
		if n, ok := cs[i].Load.Others(); ok {
			s.meanOthers += float64(n)
			reported++
		}
		if cs[i].Gap > 0 {
			s.meanGap += cs[i].Gap.Seconds()
			gaps++
		}
	}
	s.meanOthers /= float64(max(1, reported))
	s.meanGap /= float64(max(1, gaps))
	for _, i := range pool {
		s.meanLoad += s.load(cs[i])
	}
	s.meanLoad /= float64(len(pool))
	return s
}

// load returns the estimated requests on the server, from this VM's count and the lagging report.
func (s scorer) load(c Candidate) float64 {
	others := s.meanOthers
	if n, ok := c.Load.Others(); ok {
		others = float64(n)
	}
	return float64(c.Load.InFlight) + others
}

// cost returns the relative time that one more request would take on the server. The division by the weight keeps an
// idle server of reduced weight from winning every comparison and getting several times its share.
func (s scorer) cost(c Candidate) float64 {
	return (s.load(c) + 1) * s.latencyFactor(c) * (1 - affinityGain*c.PrefixHit) / c.Weight
}

func (s scorer) latencyFactor(c Candidate) float64 {
	if c.Gap <= 0 || s.meanGap <= 0 {
		return 1
	}
	return min(maxLatencyFactor, max(minLatencyFactor, c.Gap.Seconds()/s.meanGap))
}

// withAffinity returns the index of the candidate of full weight with the longest cached prefix, if it holds at least
// affinityMinHit more of the prompt than best and neither its load nor its latency exceeds affinityBound; otherwise best.
func (s scorer) withAffinity(cs []Candidate, pool []int, best int) int {
	hit := cs[best].PrefixHit + affinityMinHit
	for _, i := range pool {
		c := cs[i]
		if c.PrefixHit < hit || c.Weight < 1 || s.latencyFactor(c) > affinityBound {
			continue
		}
		if s.load(c) <= affinityBound*s.meanLoad+1 {
			best, hit = i, c.PrefixHit
		}
	}
	return best
}
