package balance

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A Distance says how far a data centre is from this VM's.
type Distance int

// The distances; the zero value is the VM's own data centre.
const (
	SameDataCentre Distance = iota
	SameRegion
	OtherRegion
)

// A Book is what one entry VM knows of the backend servers; it is safe for concurrent use.
type Book struct {
	distance func(deck.DataCentre) Distance
	random   deck.Rand

	mu           sync.Mutex
	servers      map[deck.BackendName]*serverState
	byService    map[deck.ServiceName][]*serverState
	prefixOwners prefixIndex
	slotTime     map[deck.ServiceName]*slotTimeEstimate
	broken       map[deck.BackendName]bool // servers that broke connections since the last report
	succeeded    map[deck.BackendName]bool // servers that gave a whole answer since the last report
	entryVMs     int                       // entry VMs that share the servers; 0 for not known
}

// An serverState is one backend server with this VM's own observations.
type serverState struct {
	deck.Server
	distance Distance
	inFlight int // calls of this VM that have not ended

	load           deck.ServerLoad
	loadAt         time.Time // zero if no load was seen
	selfReportedAt time.Time // when the server itself told its load; zero if it has not
	inFlightAtLoad int       // own calls when the load was seen

	inFlightReported int // own calls in the last report to the control leader

	downUntil    time.Time
	backoff      time.Duration
	fullUntil    time.Time
	failures     failureRate
	gap          gapRatio
	absentUntil  map[modelKey]time.Time // what the server said that it does not hold, until then
	presentUntil map[modelKey]time.Time // what an order put there and the list does not show yet, until then
}

// modelKey names a model, or one adapter of it.
type modelKey struct {
	model   deck.ModelName
	adapter deck.AdapterName
}

// NewBook returns an empty book.
func NewBook(distance func(deck.DataCentre) Distance, random deck.Rand) *Book {
	return &Book{
		distance: distance, random: random, servers: make(map[deck.BackendName]*serverState),
		slotTime: make(map[deck.ServiceName]*slotTimeEstimate),
		broken:   make(map[deck.BackendName]bool), succeeded: make(map[deck.BackendName]bool),
	}
}

// SetServers replaces the list of backend servers; observations of those that stay are kept.
func (b *Book) SetServers(now time.Time, list []deck.Server) {
	b.mu.Lock()
	defer b.mu.Unlock()
	servers := make(map[deck.BackendName]*serverState, len(list))
	b.byService = make(map[deck.ServiceName][]*serverState)
	for _, listed := range list {
		s := b.servers[listed.ID]
		if s == nil || s.Address != listed.Address || s.Born != listed.Born {
			s = &serverState{distance: b.distance(listed.DataCentre)}
		}
		if s.Broken && !listed.Broken {
			s.downUntil = now.Add(time.Duration(b.random.Float64() * float64(returnJitter)))
		}
		s.Server = listed
		servers[listed.ID] = s
		b.byService[listed.Service] = append(b.byService[listed.Service], s)
	}
	b.servers = servers
}

// HasAddress reports whether a listed backend server has the address.
func (b *Book) HasAddress(addr string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.servers {
		if s.Address == addr {
			return true
		}
	}
	return false
}

// Began counts a call that is about to be sent.
func (b *Book) Began(id deck.BackendName) {
	b.update(id, func(s *serverState) { s.inFlight++ })
}

// Ended counts a call that has left the server.
func (b *Book) Ended(id deck.BackendName) {
	b.update(id, func(s *serverState) { s.inFlight = max(0, s.inFlight-1) })
}

// SawLoad takes a load that the server reported.
func (b *Book) SawLoad(now time.Time, id deck.BackendName, l deck.ServerLoad) {
	b.update(id, func(s *serverState) { s.load, s.loadAt, s.selfReportedAt, s.inFlightAtLoad = l, now, now, s.inFlight })
}

// ReportCalls returns this VM's calls at each server, for the sum over all entry VMs.
func (b *Book) ReportCalls() []deck.ServerCalls {
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

// selfReportTTL is how long a server's own word on its load is better than the sum of what entry VMs reported.
const selfReportTTL = 300 * time.Millisecond

// SawCalls takes the calls of all entry VMs together; servers that are not named have none.
func (b *Book) SawCalls(now time.Time, calls []deck.ServerCalls) {
	sums := make(map[deck.BackendName]int, len(calls))
	for _, c := range calls {
		sums[c.Server] = c.Calls
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.servers {
		if now.Sub(s.selfReportedAt) < selfReportTTL {
			continue
		}
		s.load.Running, s.load.Waiting = sums[id], 0
		s.loadAt, s.inFlightAtLoad = now, s.inFlightReported
	}
}

// SawAnswer takes the success or failure of a call that the server answered; failed is false for an answer that says
// nothing against the server.
func (b *Book) SawAnswer(now time.Time, id deck.BackendName, failed bool) {
	b.update(id, func(s *serverState) {
		s.failures.add(now, failed)
		if !failed {
			b.succeeded[id] = true
			delete(b.broken, id)
			s.backoff, s.downUntil = 0, time.Time{}
		}
	})
}

// SawPause takes the pause between two events of a stream, and the longest pause that the stream's route allows.
func (b *Book) SawPause(now time.Time, id deck.BackendName, gap, target time.Duration) {
	if target <= 0 {
		return
	}
	b.update(id, func(s *serverState) { s.gap.add(now, gap.Seconds()/target.Seconds()) })
}

// SawDown notes that the server could not be reached or broke its connection.
func (b *Book) SawDown(now time.Time, id deck.BackendName) {
	b.update(id, func(s *serverState) {
		if now.Before(s.downUntil) {
			return // calls that were sent together fail together
		}
		s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
		s.downUntil = now.Add(s.backoff)
	})
}

// SawBroke notes that the server broke a connection on which it had a call.
func (b *Book) SawBroke(id deck.BackendName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.broken[id] = true
}

// TakeSeen returns the servers that broke connections since the last call, and those that gave a whole answer.
func (b *Book) TakeSeen() (broken, answered []deck.BackendName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	broken, answered = slices.Sorted(maps.Keys(b.broken)), slices.Sorted(maps.Keys(b.succeeded))
	clear(b.broken)
	clear(b.succeeded)
	return broken, answered
}

// SawFull notes that the server refused a call because all its places were taken.
func (b *Book) SawFull(now time.Time, id deck.BackendName) {
	b.update(id, func(s *serverState) { s.fullUntil = now.Add(fullBackoff) })
}

// SawOther notes that another backend server has the address.
func (b *Book) SawOther(now time.Time, id deck.BackendName) {
	b.update(id, func(s *serverState) { s.downUntil = now.Add(mismatchBackoff) })
}

// SawAbsent notes that the engine does not hold the model or adapter.
func (b *Book) SawAbsent(now time.Time, id deck.BackendName, m deck.ModelName, a deck.AdapterName) {
	b.update(id, func(s *serverState) {
		if s.absentUntil == nil {
			s.absentUntil = make(map[modelKey]time.Time)
		}
		s.absentUntil[modelKey{m, a}] = now.Add(absentTTL)
		delete(s.presentUntil, modelKey{m, a})
	})
}

// SawPresent notes that an order has put the adapter there.
func (b *Book) SawPresent(now time.Time, id deck.BackendName, m deck.ModelName, a deck.AdapterName) {
	b.update(id, func(s *serverState) {
		if s.presentUntil == nil {
			s.presentUntil = make(map[modelKey]time.Time)
		}
		s.presentUntil[modelKey{m, a}] = now.Add(presentTTL)
		delete(s.absentUntil, modelKey{m, a})
	})
}

func (b *Book) update(id deck.BackendName, f func(*serverState)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.servers[id]; s != nil {
		f(s)
	}
}
