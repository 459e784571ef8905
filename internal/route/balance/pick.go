package balance

import (
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Times for which an observation of a backend server holds.
const (
	minDown  = 300 * time.Millisecond // doubled for each further failure
	maxDown  = 4 * time.Second        // an engine restarts within a few seconds
	fullFor  = 100 * time.Millisecond // some calls end in this time
	otherFor = 2 * time.Second        // longer than the lag of the platform's list
	// returnSpread is the time over which VMs return to a server that all of them have avoided: if it still breaks connections, the
	// first ones find out for the others.
	returnSpread = 2 * time.Second

	absentFor  = 1 * time.Second // the lag of the platform's list
	presentFor = 3 * time.Second // the lag of the platform's list and of its way here
	loadFor    = 2 * time.Second // the load of other VMs has changed after this time
)

// Costs in units of a caller's longest allowed wait or pause.
const (
	callCost    = 0.02 // each call at the server: its prompt is read between the events of the others
	queueCost   = 2.0  // times the calls beyond most of the server's places, in units of its places: they wait for one
	queueFrom   = 0.8  // share of the places from which on calls are expected to wait
	regionCost  = 0.04 // another data centre of the region: traffic is billed by volume
	farCost     = 0.12 // another region: a few dozen ms each way, and traffic is billed
	failingCost = 4.0  // times the share of calls that failed of late
	pauseCost   = 0.6  // times the share of the allowed pause that events take of late
	jitterCost  = 0.02 // spreads VMs that have seen the same load
	prefixGain  = 0.03 // the prompt's shared parts need not be read again
)

// maxFill is how many calls, in units of the server's places, may be there before no more are offered if it is not known
// how long calls keep their places.
const maxFill = 2.0

const (
	// viewers is how many VMs look at each server on average for one call each. All VMs see the same loads, up to the
	// interval of their reports old, and would otherwise choose the same server until the next report.
	viewers = 16

	// minLooks is the least number of servers that a call looks at; already two keep apart the fullest and the emptiest.
	minLooks = 2
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
	var usable [OtherRegion + 1][]*entry
	held := b.holdTime(w.Service)
	for _, e := range b.service[w.Service] {
		s := e.fits(now, w, held)
		if s == Chosen {
			usable[e.distance] = append(usable[e.distance], e)
		} else {
			shortage = max(shortage, s)
		}
	}
	var best *entry
	bestCost := 0.0
	for _, list := range usable {
		for _, e := range b.some(list, w) {
			cost := e.cost(now) + jitterCost*b.random.Float64() - b.prefix.gain(e.ID, w)
			if best == nil || cost < bestCost {
				best, bestCost = e, cost
			}
		}
	}
	if best == nil {
		return deck.Server{}, shortage
	}
	return best.Server, Chosen
}

// some returns the servers that a call looks at: fewer the more VMs there are, and the one that has read the prompt's
// shared parts.
func (b *Book) some(list []*entry, w Want) []*entry {
	looks := len(list)
	if b.vms > 0 {
		looks = min(looks, max(minLooks, len(list)*viewers/b.vms))
	}
	for i := range looks {
		j := i + b.random.IntN(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	for i := looks; i < len(list); i++ {
		if b.prefix.gain(list[i].ID, w) > 0 {
			list[looks], list[i] = list[i], list[looks]
			return list[:looks+1]
		}
	}
	return list[:looks]
}

// fits says what keeps the server from running the call.
func (e *entry) fits(now time.Time, w Want, held time.Duration) Shortage {
	switch {
	case e.Draining || e.Broken || w.Tried[e.ID] || w.Among != nil && !w.Among[e.ID] || now.Before(e.downUntil):
		return NoServer
	case w.Model != "" && !e.holds(now, w.Model, ""):
		return ModelAbsent
	case w.Model != "" && w.Adapter != "" && !e.holds(now, w.Model, w.Adapter):
		return AdapterAbsent
	case now.Before(e.fullUntil) || e.full(now, w, held):
		return AllFull
	default:
		return Chosen
	}
}

// slowPace is the pace from which on an engine's VM is busy with other work: events of its streams then come late as soon as a
// prompt is read between them.
const slowPace = 1.5

// Told returns whether a server is in this VM's region, and how long ago it told its load itself.
func (b *Book) Told(now time.Time, id deck.BackendName) (near bool, age time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.servers[id]
	if e == nil {
		return false, 0
	}
	return e.distance != OtherRegion, now.Sub(e.toldAt)
}

// Suits reports whether the server, by what it told last, can take the call now and is not slowed by other work.
func (b *Book) Suits(now time.Time, id deck.BackendName, w Want) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.servers[id]
	return e != nil && e.fits(now, w, b.holdTime(w.Service)) == Chosen && e.load.Pace < slowPace
}

// holdTime returns how long calls of a service keep a place of late; 0 if that is not known. The caller holds the lock.
func (b *Book) holdTime(s deck.ServiceName) time.Duration {
	if h := b.held[s]; h != nil {
		return h.mean
	}
	return 0
}

// full reports whether a call would wait too long for a place at the server.
func (e *entry) full(now time.Time, w Want, held time.Duration) bool {
	fill := e.fill(now)
	if held <= 0 || w.Patience <= 0 {
		return fill >= maxFill
	}
	slots := float64(max(1, e.Slots))
	ahead := fill*slots + 1 - slots // calls that have to end before this one begins
	return ahead*held.Seconds()/slots > w.Patience.Seconds()
}

// holds reports whether the engine is believed to hold a model or adapter.
func (e *entry) holds(now time.Time, m deck.ModelName, a deck.AdapterName) bool {
	key := held{m, a}
	if now.Before(e.absent[key]) {
		return false
	}
	return now.Before(e.present[key]) || e.Holds(m, a)
}

// fill returns the calls at the server in units of its places.
func (e *entry) fill(now time.Time) float64 {
	slots := max(1, e.Slots)
	return (float64(e.own) + e.others(now)) / float64(slots)
}

// others estimates the calls of other VMs from the last load report, which fades with its age.
func (e *entry) others(now time.Time) float64 {
	if e.loadAt.IsZero() {
		return 0
	}
	fresh := 1 - now.Sub(e.loadAt).Seconds()/loadFor.Seconds()
	return max(0, float64(e.load.Running+e.load.Waiting-e.ownAt)) * max(0, fresh)
}

func (e *entry) cost(now time.Time) float64 {
	pace := 1.0
	if !e.loadAt.IsZero() && now.Sub(e.loadAt) < loadFor {
		pace = max(1, e.load.Pace) // 0 if the server has not told it
	}
	fill := e.fill(now)
	cost := (callCost*fill*float64(max(1, e.Slots)) + queueCost*max(0, fill-queueFrom)) * pace
	switch e.distance {
	case SameRegion:
		cost += regionCost
	case OtherRegion:
		cost += farCost
	}
	return cost + failingCost*e.failing.share(now) + pauseCost*e.pause.share(now)
}
