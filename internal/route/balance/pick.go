package balance

import (
	"cmp"
	"slices"
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
	prefixDiscount  = 0.03 // the engine need not process the prompt's shared prefix again
)

// maxUtilisation is the utilisation from which a server counts as full if the wait for a slot can't be estimated.
const maxUtilisation = 2.0

// Requirements holds a call's requirements for a backend server.
type Requirements struct {
	Service     deck.ServiceName
	Model       deck.ModelName   // empty for plain services
	Adapter     deck.AdapterName // empty for none
	PromptParts []deck.PromptPart
	Tried       map[deck.BackendName]bool // servers that the call has been sent to

	// Continued is the origin of the stream that the call continues, which only servers of the same software version can do; nil for none.
	Continued *deck.StreamOrigin

	// Unannounced are the software versions at which the call may not begin a stream yet.
	Unannounced []deck.SoftwareVersion

	Among     map[deck.BackendName]bool // the only servers to pick from; nil for all
	Unlimited bool                      // leaves out servers that have named a limit, which may have no permit for the call

	// Draw is drawn for the call from 0 to 1. Where servers have room for a part of the calls only, those that drew less are sent.
	Draw float64

	// Admitted returns the share of the calls like this one to send if there is room for the given share of all; nil for the same share.
	Admitted func(room float64) float64

	// Probed says that a server in this VM's region is asked for its load before a call is offered.
	Probed bool

	// MaxWait is the longest acceptable wait for a slot; 0 if unknown.
	MaxWait time.Duration
}

// admitted returns the share of the calls like this one to send if there is room for the given share of all.
func (r Requirements) admitted(room float64) float64 {
	if r.Admitted == nil || room >= 1 {
		return room
	}
	return r.Admitted(room)
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

// Pick returns a server. It spreads the calls that VMs of this data centre are expected to have sent since the last reports over the
// servers by their costs, and draws one by its part of them: VMs that know the same report don't all choose the same server. The second
// result is Chosen, or the reason why there is no server.
func (b *Balancer) Pick(now time.Time, req Requirements) (deck.Server, PickResult) {
	b.mu.Lock()
	defer b.mu.Unlock()
	reason := NoServer
	var usable []spreadServer
	var over overflow
	calls := 1.0
	slotTime := b.meanSlotTime(req.Service)
	for _, s := range b.byService[req.Service] {
		result := b.eligibility(now, s, req, slotTime)
		if result != Chosen && result != AllFull {
			reason = max(reason, result)
			continue
		}
		estimate := b.estimateLoad(now, s, slotTime)
		over.add(estimate.inFlight+estimate.replaced, remainingShare(b.reportAge(now, s), slotTime), result == AllFull)
		if result == AllFull {
			reason = AllFull
			continue
		}
		calls += estimate.replaced
		usable = append(usable, spreadServer{
			state: s, fixed: s.fixedCost(now) - b.prefixOwners.discount(s.ID, req), inFlight: estimate.inFlight,
			slots: float64(max(1, s.Slots)), slowdown: s.slowdown(now), rivals: b.rivals(s), capacity: s.capacity(req, slotTime),
		})
	}
	if len(usable) == 0 {
		return deck.Server{}, reason
	}
	turnedAway := over.inFlight(b.arrivalsOfAll(now, req), cmp.Or(slotTime, defaultSlotTime))
	near := turnedAway / float64(max(1, b.dataCentreCount()))
	absorb(usable, turnedAway-near)
	room := spread(usable, calls+near)
	s := draw(usable, b.random)
	tellsLoad := req.Probed && s.distance != OtherRegion
	if !tellsLoad && req.Draw > req.admitted(room) {
		return deck.Server{}, AllFull
	}
	return s.Server, Chosen
}

// dataCentreCount returns the number of data centres with servers.
func (b *Balancer) dataCentreCount() int {
	sum := 0
	for _, n := range b.dataCentres {
		sum += n
	}
	return sum
}

// rivals returns the number of data centres whose VMs send calls to the server as those of this VM's data centre do: those that are as
// far from it.
func (b *Balancer) rivals(s *serverState) float64 {
	return float64(max(1, b.dataCentres[s.distance]))
}

// eligibility returns Chosen if the server can run the call, otherwise the reason why it can't. The caller holds the lock.
func (b *Balancer) eligibility(now time.Time, s *serverState, req Requirements, slotTime time.Duration) PickResult {
	r := b.restraints.Restraint(now, s.ID, s.incarnation)
	switch {
	case s.Draining || r.Leaving || s.Ejected || req.Tried[s.ID] || req.Among != nil && !req.Among[s.ID] || now.Before(s.downUntil):
		return NoServer
	case req.Continued != nil && s.Software != req.Continued.Software:
		return NoServer
	case req.Continued == nil && slices.Contains(req.Unannounced, s.Software):
		return NoServer
	case req.Model != "" && !s.holds(now, req.Model, ""):
		return ModelAbsent
	case !r.Until.IsZero() || req.Unlimited && r.Limited:
		return Restrained
	case req.Model != "" && req.Adapter != "" && !s.holds(now, req.Model, req.Adapter):
		return AdapterAbsent
	case now.Before(s.fullUntil) || b.isFull(now, s, req, slotTime):
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

// isFull reports whether a call would wait too long for a slot. The caller holds the lock.
func (b *Balancer) isFull(now time.Time, s *serverState, req Requirements, slotTime time.Duration) bool {
	e := b.estimateLoad(now, s, slotTime)
	return e.inFlight+e.replaced >= s.capacity(req, slotTime)
}

// capacity returns the calls at the server from which on a further one would wait too long for a slot.
func (s *serverState) capacity(req Requirements, slotTime time.Duration) float64 {
	slots := float64(max(1, s.Slots))
	if slotTime <= 0 || req.MaxWait <= 0 {
		return maxUtilisation * slots
	}
	return slots*(1+req.MaxWait.Seconds()/slotTime.Seconds()) - 1
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

// slowdown returns the duration of work at the server relative to its normal duration, as far as it is known.
func (s *serverState) slowdown(now time.Time) float64 {
	if s.loadAt.IsZero() || now.Sub(s.loadAt) >= loadTTL {
		return 1
	}
	return max(1, s.load.Slowdown) // 0 if the server does not report its slowdown
}

// fixedCost returns the part of the cost that does not depend on the calls in flight.
func (s *serverState) fixedCost(now time.Time) float64 {
	cost := failureCost*s.failures.value(now) + gapCost*s.gap.value(now)
	switch s.distance {
	case SameRegion:
		cost += sameRegionCost
	case OtherRegion:
		cost += otherRegionCost
	}
	return cost
}
