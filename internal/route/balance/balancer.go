package balance

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/core/restraint"
)

// A Distance is the network distance between a data centre and this VM's.
type Distance int

// The distances; the zero value is the VM's own data centre.
const (
	SameDataCentre Distance = iota
	SameRegion
	OtherRegion
)

// A Balancer holds one entry VM's view of the backend servers and picks servers for calls. It is safe for concurrent use.
type Balancer struct {
	distance   func(deck.DataCentre) Distance
	random     deck.Rand
	restraints *restraint.Table

	mu           sync.Mutex
	servers      map[deck.BackendName]*serverState
	byService    map[deck.ServiceName][]*serverState
	prefixOwners prefixIndex
	slotTime     map[deck.ServiceName]*slotTimeEstimate

	// Observations since the last TakeConnectionEvents.
	brokeConnection map[deck.BackendName]bool // servers that broke a connection and completed no answer after it
	answered        map[deck.BackendName]bool // servers that completed an answer

	software       softwareHistory
	arrivals       map[arrivalKey]*arrivalRate
	entryVMs       int                  // number of entry VMs that share the servers; 0 if unknown
	dataCentres    [OtherRegion + 1]int // number of data centres with servers at each distance
	totalsAt       time.Time            // when the last totals of calls in flight were recorded; zero if none were
	reportInterval time.Duration        // usual time between two reports of a VM
}

// A serverState is a listed backend server with this VM's observations of it.
type serverState struct {
	deck.Server
	incarnation string
	distance    Distance
	inFlight    int // this VM's calls that have not ended

	load           deck.ServerLoad
	near           int       // calls in flight of this VM's data centre, by the last totals
	usualFar       float64   // moving average of the calls in flight of other data centres
	loadAt         time.Time // when the load was recorded; zero if there is none
	selfReportedAt time.Time // when the server last reported its load itself; zero if it never has
	answeredAt     time.Time // when the server last sent an event or an answer of its own; zero if it never has
	inFlightAtLoad int       // this VM's calls that the load includes

	inFlightReported int // this VM's calls in its last report to the control leader

	anonymous    bool // it has sent an answer without the ID of its call
	downUntil    time.Time
	backoff      time.Duration // the last one; 0 after a success
	fullUntil    time.Time
	failures     failureRate
	gap          gapRatio
	absentUntil  map[modelKey]time.Time // expiry of each model or adapter that the server reported as not held
	presentUntil map[modelKey]time.Time // expiry of each adapter that was loaded but may not be listed yet
}

// A modelKey identifies a model, or one adapter of it.
type modelKey struct {
	model   deck.ModelName
	adapter deck.AdapterName
}

// NewBalancer returns a Balancer without servers, which obeys the restraints in the table.
func NewBalancer(distance func(deck.DataCentre) Distance, random deck.Rand, restraints *restraint.Table) *Balancer {
	return &Balancer{
		distance: distance, random: random, restraints: restraints, servers: make(map[deck.BackendName]*serverState),
		reportInterval:  defaultReportInterval,
		slotTime:        make(map[deck.ServiceName]*slotTimeEstimate),
		brokeConnection: make(map[deck.BackendName]bool), answered: make(map[deck.BackendName]bool),
	}
}

// SetServers replaces the list of backend servers. It keeps the observations of servers that stay in the list.
func (b *Balancer) SetServers(now time.Time, list []deck.Server) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.software.record(now, b.servers)
	servers := make(map[deck.BackendName]*serverState, len(list))
	b.byService = make(map[deck.ServiceName][]*serverState)
	for _, listed := range list {
		s := b.servers[listed.ID]
		if s == nil || s.Address != listed.Address || s.StartUnixMs != listed.StartUnixMs {
			s = &serverState{distance: b.distance(listed.DataCentre), incarnation: listed.Incarnation()}
		}
		if s.Ejected && !listed.Ejected {
			s.downUntil = now.Add(time.Duration(b.random.Float64() * float64(returnJitter)))
		}
		s.Server = listed
		servers[listed.ID] = s
		b.byService[listed.Service] = append(b.byService[listed.Service], s)
	}
	b.servers = servers
	b.software.record(now, b.servers)
	b.countDataCentres()
}

// countDataCentres counts the data centres with servers at each distance. The caller holds the lock.
func (b *Balancer) countDataCentres() {
	counted := make(map[deck.DataCentre]bool)
	b.dataCentres = [OtherRegion + 1]int{}
	for _, s := range b.servers {
		if !counted[s.DataCentre] {
			counted[s.DataCentre] = true
			b.dataCentres[s.distance]++
		}
	}
}

// HasAddress reports whether a listed backend server has the address.
func (b *Balancer) HasAddress(addr string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.servers {
		if s.Address == addr {
			return true
		}
	}
	return false
}

// RecordCallStart records that a call is about to be sent to the server.
func (b *Balancer) RecordCallStart(id deck.BackendName) {
	b.update(id, func(s *serverState) { s.inFlight++ })
}

// RecordCallEnd records that a call to the server has ended.
func (b *Balancer) RecordCallEnd(id deck.BackendName) {
	b.update(id, func(s *serverState) { s.inFlight = max(0, s.inFlight-1) })
}

// RecordLoad records a load that the server itself reported.
func (b *Balancer) RecordLoad(now time.Time, id deck.BackendName, l deck.ServerLoad) {
	b.update(id, func(s *serverState) { s.load, s.loadAt, s.selfReportedAt, s.inFlightAtLoad = l, now, now, s.inFlight })
}

// ReportInFlight returns this VM's calls in flight at each server, for the total over all entry VMs.
func (b *Balancer) ReportInFlight() []deck.ServerCalls {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []deck.ServerCalls
	for _, s := range b.servers {
		s.inFlightReported = s.inFlight
		if s.inFlight > 0 {
			out = append(out, deck.ServerCalls{Server: s.ID, Calls: s.inFlight})
		}
	}
	return out
}

// selfReportTTL is how long a load that the server itself reported takes precedence over the total that entry VMs report.
const selfReportTTL = 300 * time.Millisecond

// RecordInFlightTotals records the total calls in flight of all entry VMs. Servers that are not named have none.
func (b *Balancer) RecordInFlightTotals(now time.Time, calls []deck.ServerCalls) {
	totals := make(map[deck.BackendName]deck.ServerCalls, len(calls))
	for _, c := range calls {
		totals[c.Server] = c
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	interval := now.Sub(b.totalsAt)
	if interval < loadTTL {
		b.reportInterval += (interval - b.reportInterval) / reportIntervalSamples
	}
	b.totalsAt = now
	for id, s := range b.servers {
		s.near = totals[id].Near
		far := float64(totals[id].Calls - totals[id].Near)
		s.usualFar = far + (s.usualFar-far)*deck.Decay(interval, usualLoadDecay)
		if now.Sub(s.selfReportedAt) < selfReportTTL {
			continue
		}
		s.load.Running, s.load.Waiting = totals[id].Calls, 0
		s.loadAt, s.inFlightAtLoad = now, s.inFlightReported
	}
}

// usualLoadDecay is the time constant of the average of other data centres' calls: longer than the report interval, by which
// their VMs' choices swing, and shorter than a crest of demand.
const usualLoadDecay = 2 * time.Second

// reportIntervalSamples is about how many intervals between totals the usual interval covers.
const reportIntervalSamples = 8

// RecordResult records the result of a call that the server answered. failed is false unless the server itself is at fault.
func (b *Balancer) RecordResult(now time.Time, id deck.BackendName, failed bool) {
	b.update(id, func(s *serverState) {
		s.failures.add(now, failed)
		if !failed {
			s.answeredAt = now
			b.answered[id] = true
			delete(b.brokeConnection, id)
			s.backoff, s.downUntil = 0, time.Time{}
		}
	})
}

// RecordEventGap records the gap between two events of a stream. target is the longest gap that the stream's route allows; 0 for
// no limit.
func (b *Balancer) RecordEventGap(now time.Time, id deck.BackendName, gap, target time.Duration) {
	b.update(id, func(s *serverState) {
		s.answeredAt = now
		if target > 0 {
			s.gap.add(now, gap.Seconds()/target.Seconds())
		}
	})
}

// HasAnsweredSince reports whether the server has sent this VM an event or an answer since the given time.
func (b *Balancer) HasAnsweredSince(id deck.BackendName, t time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[id]
	return s != nil && s.answeredAt.After(t)
}

// RecordUnreachable records that the server could not be reached or broke a connection, and backs off from it.
func (b *Balancer) RecordUnreachable(now time.Time, id deck.BackendName) {
	b.update(id, func(s *serverState) {
		if now.Before(s.downUntil) {
			return // concurrent calls fail together; count them once
		}
		s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
		s.downUntil = now.Add(s.backoff)
	})
}

// RecordBrokenConnection records that the server broke a connection with a call in flight.
func (b *Balancer) RecordBrokenConnection(id deck.BackendName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.brokeConnection[id] = true
}

// UnlistedLeaving returns the servers that have said that they leave, although the list shows them as ready.
func (b *Balancer) UnlistedLeaving(now time.Time) []deck.LeavingServer {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []deck.LeavingServer
	for id, s := range b.servers {
		if !s.Draining && b.restraints.Restraint(now, id, s.incarnation).Leaving {
			out = append(out, deck.LeavingServer{Server: id, Incarnation: s.incarnation})
		}
	}
	return out
}

// TakeConnectionEvents returns the servers that broke a connection and completed no answer after it, and the servers that
// completed an answer, both since its last call.
func (b *Balancer) TakeConnectionEvents() (brokeConnection, answered []deck.BackendName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	brokeConnection, answered = slices.Sorted(maps.Keys(b.brokeConnection)), slices.Sorted(maps.Keys(b.answered))
	clear(b.brokeConnection)
	clear(b.answered)
	return brokeConnection, answered
}

// RecordFull records that the server refused a call because all its slots were in use.
func (b *Balancer) RecordFull(now time.Time, id deck.BackendName) {
	b.update(id, func(s *serverState) { s.fullUntil = now.Add(fullBackoff) })
}

// RecordIdentityMismatch records that another backend server answers at the server's address.
func (b *Balancer) RecordIdentityMismatch(now time.Time, id deck.BackendName) {
	b.update(id, func(s *serverState) { s.downUntil = now.Add(mismatchBackoff) })
}

// RecordAnonymous records that the server has sent an answer without the ID of its call.
func (b *Balancer) RecordAnonymous(id deck.BackendName) {
	b.update(id, func(s *serverState) { s.anonymous = true })
}

// IsAnonymous reports whether the server has sent an answer without the ID of its call. On a reused connection, nothing tells such an
// answer from a copy of an earlier one.
func (b *Balancer) IsAnonymous(id deck.BackendName) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[id]
	return s != nil && s.anonymous
}

// RecordAbsent records that the engine does not hold the model, or the adapter unless it is empty.
func (b *Balancer) RecordAbsent(now time.Time, id deck.BackendName, m deck.ModelName, a deck.AdapterName) {
	b.update(id, func(s *serverState) {
		if s.absentUntil == nil {
			s.absentUntil = make(map[modelKey]time.Time)
		}
		s.absentUntil[modelKey{m, a}] = now.Add(absentTTL)
		delete(s.presentUntil, modelKey{m, a})
	})
}

// RecordPresent records that a placement order has loaded the adapter on the engine.
func (b *Balancer) RecordPresent(now time.Time, id deck.BackendName, m deck.ModelName, a deck.AdapterName) {
	b.update(id, func(s *serverState) {
		if s.presentUntil == nil {
			s.presentUntil = make(map[modelKey]time.Time)
		}
		s.presentUntil[modelKey{m, a}] = now.Add(presentTTL)
		delete(s.absentUntil, modelKey{m, a})
	})
}

// update calls f with the lock held, unless the server is not listed.
func (b *Balancer) update(id deck.BackendName, f func(*serverState)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.servers[id]; s != nil {
		f(s)
	}
}
