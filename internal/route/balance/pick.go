package balance

import (
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Times for which an observation of a backend server holds.
const (
	minBackoff      = 300 * time.Millisecond // doubled for each further failure
	maxBackoff      = 4 * time.Second        // an engine restarts within a few seconds
	fullBackoff     = 100 * time.Millisecond // some calls end in this time
	mismatchBackoff = 2 * time.Second        // longer than the lag of the platform's list
	// returnJitter is the time over which VMs return to a server that all of them have avoided: if it still breaks connections, the
	// first ones find out for the others.
	returnJitter = 2 * time.Second

	absentTTL  = 1 * time.Second // the lag of the platform's list
	presentTTL = 3 * time.Second // the lag of the platform's list and of its way here
	loadTTL    = 2 * time.Second // the load of other VMs has changed after this time
)

// Costs in units of a caller's longest allowed wait or pause.
const (
	inFlightCost    = 0.02 // each call at the server: its prompt is read between the events of the others
	queueCost       = 2.0  // times the calls beyond most of the server's places, in units of its places: they wait for one
	queueThreshold  = 0.8  // share of the places from which on calls are expected to wait
	sameRegionCost  = 0.04 // another data centre of the region: traffic is billed by volume
	otherRegionCost = 0.12 // another region: a few dozen ms each way, and traffic is billed
	failureCost     = 4.0  // times the share of calls that failed of late
	gapCost         = 0.6  // times the share of the allowed pause that events take of late
	jitterCost      = 0.02 // spreads VMs that have seen the same load
	prefixDiscount  = 0.03 // the prompt's shared parts need not be read again
)

// maxUtilisation is how many calls, in units of the server's places, may be there before no more are offered if it is not known
// how long calls keep their places.
const maxUtilisation = 2.0

const (
	// vmsPerServer is how many VMs look at each server on average for one call each. All VMs see the same loads, up to the
	// interval of their reports old, and would otherwise choose the same server until the next report.
	vmsPerServer = 16

	// minSample is the least number of servers that a call looks at; already two keep apart the fullest and the emptiest.
	minSample = 2
)

// A Want says what a call needs of a backend server.
type Want struct {
	Service deck.ServiceName
	Model   deck.ModelName   // empty for plain services
	Adapter deck.AdapterName // empty for none
	Parts   []deck.PromptPart
	Tried   map[deck.BackendName]bool // servers that this call was offered to

	Among map[deck.BackendName]bool // the only servers to choose from; nil for all

	// Patience is the longest wait for a place that is worth an offer; 0 for not known.
	Patience time.Duration
}

// A Shortage says why no server was chosen.
type Shortage int

// The shortages; the zero value says that a server was chosen.
const (
	Chosen        Shortage = iota
	NoServer               // no usable server of the service is known
	ModelAbsent            // no usable server holds the model
	AdapterAbsent          // servers hold the model without the adapter
	AllFull                // every server that could run the call is full
)

// String returns the shortage's name as used in logs.
func (s Shortage) String() string {
	return [...]string{"chosen", "no-server", "model-absent", "adapter-absent", "all-full"}[s]
}

// Pick chooses a server for a call: the best of some that are chosen at random in each distance.
func (b *Book) Pick(now time.Time, w Want) (deck.Server, Shortage) {
	b.mu.Lock()
	defer b.mu.Unlock()
	shortage := NoServer
	var usable [OtherRegion + 1][]*serverState
	slotTime := b.meanSlotTime(w.Service)
	for _, s := range b.byService[w.Service] {
		result := s.eligibility(now, w, slotTime)
		if result == Chosen {
			usable[s.distance] = append(usable[s.distance], s)
		} else {
			shortage = max(shortage, result)
		}
	}
	var best *serverState
	bestCost := 0.0
	for _, tier := range usable {
		for _, s := range b.sample(tier, w) {
			cost := s.cost(now) + jitterCost*b.random.Float64() - b.prefixOwners.discount(s.ID, w)
			if best == nil || cost < bestCost {
				best, bestCost = s, cost
			}
		}
	}
	if best == nil {
		return deck.Server{}, shortage
	}
	return best.Server, Chosen
}

// sample returns the servers that a call looks at: fewer the more VMs there are, and the one that has read the prompt's
// shared parts.
func (b *Book) sample(list []*serverState, w Want) []*serverState {
	n := len(list)
	if b.entryVMs > 0 {
		n = min(n, max(minSample, len(list)*vmsPerServer/b.entryVMs))
	}
	for i := range n {
		j := i + b.random.IntN(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	for i := n; i < len(list); i++ {
		if b.prefixOwners.discount(list[i].ID, w) > 0 {
			list[n], list[i] = list[i], list[n]
			return list[:n+1]
		}
	}
	return list[:n]
}

// eligibility says what keeps the server from running the call.
func (s *serverState) eligibility(now time.Time, w Want, slotTime time.Duration) Shortage {
	switch {
	case s.Draining || s.Broken || w.Tried[s.ID] || w.Among != nil && !w.Among[s.ID] || now.Before(s.downUntil):
		return NoServer
	case w.Model != "" && !s.holds(now, w.Model, ""):
		return ModelAbsent
	case w.Model != "" && w.Adapter != "" && !s.holds(now, w.Model, w.Adapter):
		return AdapterAbsent
	case now.Before(s.fullUntil) || s.full(now, w, slotTime):
		return AllFull
	default:
		return Chosen
	}
}

// maxPace is the pace from which on an engine's VM is busy with other work: events of its streams then come late as soon as a
// prompt is read between them.
const maxPace = 1.5

// Told returns whether a server is in this VM's region, and how long ago it told its load itself.
func (b *Book) Told(now time.Time, id deck.BackendName) (near bool, age time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[id]
	if s == nil {
		return false, 0
	}
	return s.distance != OtherRegion, now.Sub(s.selfReportedAt)
}

// Suits reports whether the server, by what it told last, can take the call now and is not slowed by other work.
func (b *Book) Suits(now time.Time, id deck.BackendName, w Want) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[id]
	return s != nil && s.eligibility(now, w, b.meanSlotTime(w.Service)) == Chosen && s.load.Pace < maxPace
}

// meanSlotTime returns how long calls of a service keep a place of late; 0 if that is not known. The caller holds the lock.
func (b *Book) meanSlotTime(s deck.ServiceName) time.Duration {
	if h := b.slotTime[s]; h != nil {
		return h.mean
	}
	return 0
}

// full reports whether a call would wait too long for a place at the server.
func (s *serverState) full(now time.Time, w Want, slotTime time.Duration) bool {
	utilisation := s.utilisation(now)
	if slotTime <= 0 || w.Patience <= 0 {
		return utilisation >= maxUtilisation
	}
	slots := float64(max(1, s.Slots))
	ahead := utilisation*slots + 1 - slots // calls that have to end before this one begins
	return ahead*slotTime.Seconds()/slots > w.Patience.Seconds()
}

// holds reports whether the engine is believed to hold a model or adapter.
func (s *serverState) holds(now time.Time, m deck.ModelName, a deck.AdapterName) bool {
	key := modelKey{m, a}
	if now.Before(s.absentUntil[key]) {
		return false
	}
	return now.Before(s.presentUntil[key]) || s.Holds(m, a)
}

// utilisation returns the calls at the server in units of its places.
func (s *serverState) utilisation(now time.Time) float64 {
	slots := max(1, s.Slots)
	return (float64(s.inFlight) + s.othersInFlight(now)) / float64(slots)
}

// othersInFlight estimates the calls of other VMs from the last load report, which fades with its age.
func (s *serverState) othersInFlight(now time.Time) float64 {
	if s.loadAt.IsZero() {
		return 0
	}
	fresh := 1 - now.Sub(s.loadAt).Seconds()/loadTTL.Seconds()
	return max(0, float64(s.load.Running+s.load.Waiting-s.inFlightAtLoad)) * max(0, fresh)
}

func (s *serverState) cost(now time.Time) float64 {
	pace := 1.0
	if !s.loadAt.IsZero() && now.Sub(s.loadAt) < loadTTL {
		pace = max(1, s.load.Pace) // 0 if the server has not told it
	}
	utilisation := s.utilisation(now)
	cost := (inFlightCost*utilisation*float64(max(1, s.Slots)) + queueCost*max(0, utilisation-queueThreshold)) * pace
	switch s.distance {
	case SameRegion:
		cost += sameRegionCost
	case OtherRegion:
		cost += otherRegionCost
	}
	return cost + failureCost*s.failures.value(now) + gapCost*s.gap.value(now)
}
