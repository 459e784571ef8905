package balance

import (
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Times for which an observation of a backend server counts.
const (
	minBackoff      = 300 * time.Millisecond // doubled with each further failure
	maxBackoff      = 4 * time.Second        // an engine restarts within a few seconds
	fullBackoff     = 100 * time.Millisecond // some calls end within this time
	mismatchBackoff = 2 * time.Second        // longer than the lag of the platform's list
	// returnJitter spreads the return of VMs to a server that all of them have avoided: if it still breaks connections, the
	// first VMs detect that before the others send calls.
	returnJitter = 2 * time.Second

	absentTTL  = 1 * time.Second // the lag of the platform's list
	presentTTL = 3 * time.Second // the lag of the platform's list and of its distribution to this VM
	loadTTL    = 2 * time.Second // other VMs' load has changed after this time
)

// Costs, the sum of which is compared between servers. The longest wait or gap that the caller's route allows has a cost of
// the order of 1.
const (
	inFlightCost    = 0.02 // for each call in flight: its prefill delays the events of the other streams
	queueCost       = 2.0  // times the utilisation beyond queueThreshold: those calls wait for a slot
	queueThreshold  = 0.8  // utilisation from which calls are expected to wait
	sameRegionCost  = 0.04 // traffic between data centres is billed by volume
	otherRegionCost = 0.12 // adds a few dozen ms each way, and traffic is billed
	failureCost     = 4.0  // times the recent failure rate
	gapCost         = 0.6  // times the recent gap between events, relative to its target
	jitterCost      = 0.02 // spreads VMs that know the same loads
	prefixDiscount  = 0.03 // the engine need not process the prompt's shared prefix again
)

// maxUtilisation is the utilisation from which a server counts as full if the wait for a slot can't be estimated.
const maxUtilisation = 2.0

const (
	// vmsPerServer is the mean number of VMs that consider a server if each VM picks once. All VMs know the same loads, which
	// are up to one report interval old, and would otherwise pick the same server until the next report.
	vmsPerServer = 16

	// minSample is the least number of servers to compare. Two are enough to tell a full server from an empty one.
	minSample = 2
)

// Requirements holds a call's requirements for a backend server.
type Requirements struct {
	Service     deck.ServiceName
	Model       deck.ModelName   // empty for plain services
	Adapter     deck.AdapterName // empty for none
	PromptParts []deck.PromptPart
	Tried       map[deck.BackendName]bool // servers that the call has been sent to

	Among     map[deck.BackendName]bool // the only servers to pick from; nil for all
	Unlimited bool                      // leaves out servers that have named a limit, which may have no permit for the call

	// MaxWait is the longest acceptable wait for a slot; 0 if unknown.
	MaxWait time.Duration
}

// A PickResult is the result of a pick: the reason why no server was chosen, or Chosen.
type PickResult int

// The results of a pick. Of the reasons for not choosing a server, a later one takes precedence.
const (
	Chosen        PickResult = iota
	NoServer                 // no usable server of the service is known
	ModelAbsent              // no usable server holds the model
	Restrained               // every usable server that holds the model takes no calls for a while, see RestrainedUntil
	AdapterAbsent            // usable servers hold the model, none of them the adapter
	AllFull                  // every server that could otherwise run the call is full
)

// String returns the name of the result as used in logs.
func (s PickResult) String() string {
	return [...]string{"chosen", "no-server", "model-absent", "restrained", "adapter-absent", "all-full"}[s]
}

// Pick returns the server with the lowest cost among random samples of each distance. The second result is Chosen, or the
// reason why there is no server.
func (b *Balancer) Pick(now time.Time, req Requirements) (deck.Server, PickResult) {
	b.mu.Lock()
	defer b.mu.Unlock()
	reason := NoServer
	var usable [OtherRegion + 1][]*serverState
	slotTime := b.meanSlotTime(req.Service)
	for _, s := range b.byService[req.Service] {
		result := b.eligibility(now, s, req, slotTime)
		if result == Chosen {
			usable[s.distance] = append(usable[s.distance], s)
		} else {
			reason = max(reason, result)
		}
	}
	var best *serverState
	bestCost := 0.0
	for _, tier := range usable {
		for _, s := range b.sample(tier, req) {
			cost := s.cost(now) + jitterCost*b.random.Float64() - b.prefixOwners.discount(s.ID, req)
			if best == nil || cost < bestCost {
				best, bestCost = s, cost
			}
		}
	}
	if best == nil {
		return deck.Server{}, reason
	}
	return best.Server, Chosen
}

// sample returns a random sample of the list, smaller the more VMs there are, and adds the server that processed the prompt's
// shared prefix. It reorders the list.
func (b *Balancer) sample(list []*serverState, req Requirements) []*serverState {
	n := len(list)
	if b.entryVMs > 0 {
		n = min(n, max(minSample, len(list)*vmsPerServer/b.entryVMs))
	}
	for i := range n {
		j := i + b.random.IntN(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	for i := n; i < len(list); i++ {
		if b.prefixOwners.discount(list[i].ID, req) > 0 {
			list[n], list[i] = list[i], list[n]
			return list[:n+1]
		}
	}
	return list[:n]
}

// eligibility returns Chosen if the server can run the call, otherwise the reason why it can't. The caller holds the lock.
func (b *Balancer) eligibility(now time.Time, s *serverState, req Requirements, slotTime time.Duration) PickResult {
	r := b.restraints.Restraint(now, s.ID, s.incarnation)
	switch {
	case s.Draining || r.Leaving || s.Ejected || req.Tried[s.ID] || req.Among != nil && !req.Among[s.ID] || now.Before(s.downUntil):
		return NoServer
	case req.Model != "" && !s.holds(now, req.Model, ""):
		return ModelAbsent
	case !r.Until.IsZero() || req.Unlimited && r.Limited:
		return Restrained
	case req.Model != "" && req.Adapter != "" && !s.holds(now, req.Model, req.Adapter):
		return AdapterAbsent
	case now.Before(s.fullUntil) || s.full(now, req, slotTime):
		return AllFull
	default:
		return Chosen
	}
}

// RestrainedUntil returns when the first server that could otherwise run the call takes calls again; zero if none is restrained. Servers
// that the call has been sent to count as well.
func (b *Balancer) RestrainedUntil(now time.Time, req Requirements) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	req.Tried = nil
	var first time.Time
	for _, s := range b.byService[req.Service] {
		if b.eligibility(now, s, req, 0) != Restrained {
			continue
		}
		until := b.restraints.Restraint(now, s.ID, s.incarnation).Until
		if first.IsZero() || until.Before(first) {
			first = until
		}
	}
	return first
}

// maxSlowdown is the slowdown from which an engine counts as slowed by other work on its VM: stream events are then late as
// soon as a prefill runs between them.
const maxSlowdown = 1.5

// ProbeInfo returns what decides whether to probe the server: whether it is in this VM's region, and the age of the last load
// that the server itself reported. It returns false and 0 for an unlisted server.
func (b *Balancer) ProbeInfo(now time.Time, id deck.BackendName) (sameRegion bool, age time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[id]
	if s == nil {
		return false, 0
	}
	return s.distance != OtherRegion, now.Sub(s.selfReportedAt)
}

// IsSuitable reports whether the server, by its last reported load, can run the call now and is not slowed by other work.
func (b *Balancer) IsSuitable(now time.Time, id deck.BackendName, req Requirements) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[id]
	return s != nil && b.eligibility(now, s, req, b.meanSlotTime(req.Service)) == Chosen && s.load.Slowdown < maxSlowdown
}

// meanSlotTime returns how long recent calls of the service occupied a slot, 0 if unknown. The caller holds the lock.
func (b *Balancer) meanSlotTime(s deck.ServiceName) time.Duration {
	if e := b.slotTime[s]; e != nil {
		return e.mean
	}
	return 0
}

// full reports whether a call would wait too long for a slot.
func (s *serverState) full(now time.Time, req Requirements, slotTime time.Duration) bool {
	utilisation := s.utilisation(now)
	if slotTime <= 0 || req.MaxWait <= 0 {
		return utilisation >= maxUtilisation
	}
	slots := float64(max(1, s.Slots))
	ahead := utilisation*slots + 1 - slots // calls that have to end before this one starts
	return ahead*slotTime.Seconds()/slots > req.MaxWait.Seconds()
}

// holds reports whether the engine probably holds the model, and the adapter unless it is empty. This VM's own observations
// take precedence over the list.
func (s *serverState) holds(now time.Time, m deck.ModelName, a deck.AdapterName) bool {
	key := modelKey{m, a}
	if now.Before(s.absentUntil[key]) {
		return false
	}
	return now.Before(s.presentUntil[key]) || s.Holds(m, a)
}

// utilisation returns the calls in flight at the server relative to its slots; above 1, calls wait.
func (s *serverState) utilisation(now time.Time) float64 {
	slots := max(1, s.Slots)
	return (float64(s.inFlight) + s.othersInFlight(now)) / float64(slots)
}

// othersInFlight estimates the calls of other VMs from the last load, whose weight falls to zero within loadTTL.
func (s *serverState) othersInFlight(now time.Time) float64 {
	if s.loadAt.IsZero() {
		return 0
	}
	fresh := 1 - now.Sub(s.loadAt).Seconds()/loadTTL.Seconds()
	return max(0, float64(s.load.Running+s.load.Waiting-s.inFlightAtLoad)) * max(0, fresh)
}

func (s *serverState) cost(now time.Time) float64 {
	slowdown := 1.0
	if !s.loadAt.IsZero() && now.Sub(s.loadAt) < loadTTL {
		slowdown = max(1, s.load.Slowdown) // 0 if the server does not report its slowdown
	}
	utilisation := s.utilisation(now)
	cost := (inFlightCost*utilisation*float64(max(1, s.Slots)) + queueCost*max(0, utilisation-queueThreshold)) * slowdown
	switch s.distance {
	case SameRegion:
		cost += sameRegionCost
	case OtherRegion:
		cost += otherRegionCost
	}
	return cost + failureCost*s.failures.value(now) + gapCost*s.gap.value(now)
}
