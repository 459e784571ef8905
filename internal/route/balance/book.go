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

	mu      sync.Mutex
	servers map[deck.BackendName]*entry
	service map[deck.ServiceName][]*entry
	prefix  prefixes
	held    map[deck.ServiceName]*holdTime
	broke   map[deck.BackendName]bool // servers that broke connections since the last report
	fine    map[deck.BackendName]bool // servers that gave a whole answer since the last report
	vms     int                       // entry VMs that share the servers; 0 for not known
}

// An entry is one backend server with this VM's own observations.
type entry struct {
	deck.Server
	distance Distance
	own      int // calls of this VM that have not ended

	load   deck.ServerLoad
	loadAt time.Time // zero if no load was seen
	toldAt time.Time // when the server itself told its load; zero if it has not
	ownAt  int       // own calls when the load was seen

	reported int // own calls in the last report to the control leader

	downUntil time.Time
	downFor   time.Duration
	fullUntil time.Time
	failing   failureRate
	pause     pauseRate
	absent    map[held]time.Time // what the server said that it does not hold, until then
	present   map[held]time.Time // what an order put there and the list does not show yet, until then
}

// held names a model, or one adapter of it.
type held struct {
	model   deck.ModelName
	adapter deck.AdapterName
}

// NewBook returns an empty book.
func NewBook(distance func(deck.DataCentre) Distance, random deck.Rand) *Book {
	return &Book{
		distance: distance, random: random, servers: make(map[deck.BackendName]*entry),
		held: make(map[deck.ServiceName]*holdTime), broke: make(map[deck.BackendName]bool), fine: make(map[deck.BackendName]bool),
	}
}

// SetServers replaces the list of backend servers; observations of those that stay are kept.
func (b *Book) SetServers(now time.Time, list []deck.Server) {
	b.mu.Lock()
	defer b.mu.Unlock()
	servers := make(map[deck.BackendName]*entry, len(list))
	b.service = make(map[deck.ServiceName][]*entry)
	for _, s := range list {
		e := b.servers[s.ID]
		if e == nil || e.Address != s.Address || e.Born != s.Born {
			e = &entry{distance: b.distance(s.DataCentre)}
		}
		if e.Broken && !s.Broken {
			e.downUntil = now.Add(time.Duration(b.random.Float64() * float64(returnSpread)))
		}
		e.Server = s
		servers[s.ID] = e
		b.service[s.Service] = append(b.service[s.Service], e)
	}
	b.servers = servers
}

// HasAddress reports whether a listed backend server has the address.
func (b *Book) HasAddress(addr string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.servers {
		if e.Address == addr {
			return true
		}
	}
	return false
}

// Began counts a call that is about to be sent.
func (b *Book) Began(id deck.BackendName) {
	b.with(id, func(e *entry) { e.own++ })
}

// Ended counts a call that has left the server.
func (b *Book) Ended(id deck.BackendName) {
	b.with(id, func(e *entry) { e.own = max(0, e.own-1) })
}

// SawLoad takes a load that the server reported.
func (b *Book) SawLoad(now time.Time, id deck.BackendName, l deck.ServerLoad) {
	b.with(id, func(e *entry) { e.load, e.loadAt, e.toldAt, e.ownAt = l, now, now, e.own })
}

// ReportCalls returns this VM's calls at each server, for the sum over all entry VMs.
func (b *Book) ReportCalls() []deck.ServerCalls {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []deck.ServerCalls
	for _, e := range b.servers {
		e.reported = e.own
		if e.own > 0 {
			out = append(out, deck.ServerCalls{Server: e.ID, Calls: e.own})
		}
	}
	return out
}

// ownLoadFor is how long a server's own word on its load is better than the sum of what entry VMs reported.
const ownLoadFor = 300 * time.Millisecond

// SawCalls takes the calls of all entry VMs together; servers that are not named have none.
func (b *Book) SawCalls(now time.Time, calls []deck.ServerCalls) {
	sums := make(map[deck.BackendName]int, len(calls))
	for _, c := range calls {
		sums[c.Server] = c.Calls
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, e := range b.servers {
		if now.Sub(e.toldAt) < ownLoadFor {
			continue
		}
		e.load.Running, e.load.Waiting = sums[id], 0
		e.loadAt, e.ownAt = now, e.reported
	}
}

// SawAnswer takes the success or failure of a call that the server answered; ownFault is false for an answer that says
// nothing against the server.
func (b *Book) SawAnswer(now time.Time, id deck.BackendName, ownFault bool) {
	b.with(id, func(e *entry) {
		e.failing.add(now, ownFault)
		if !ownFault {
			b.fine[id] = true
			delete(b.broke, id)
			e.downFor, e.downUntil = 0, time.Time{}
		}
	})
}

// SawPause takes the pause between two events of a stream, and the longest pause that the stream's route allows.
func (b *Book) SawPause(now time.Time, id deck.BackendName, pause, target time.Duration) {
	if target <= 0 {
		return
	}
	b.with(id, func(e *entry) { e.pause.add(now, pause.Seconds()/target.Seconds()) })
}

// SawDown notes that the server could not be reached or broke its connection.
func (b *Book) SawDown(now time.Time, id deck.BackendName) {
	b.with(id, func(e *entry) {
		if now.Before(e.downUntil) {
			return // calls that were sent together fail together
		}
		e.downFor = min(max(2*e.downFor, minDown), maxDown)
		e.downUntil = now.Add(e.downFor)
	})
}

// SawBroke notes that the server broke a connection on which it had a call.
func (b *Book) SawBroke(id deck.BackendName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.broke[id] = true
}

// TakeSeen returns the servers that broke connections since the last call, and those that gave a whole answer.
func (b *Book) TakeSeen() (broke, answered []deck.BackendName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	broke, answered = slices.Sorted(maps.Keys(b.broke)), slices.Sorted(maps.Keys(b.fine))
	clear(b.broke)
	clear(b.fine)
	return broke, answered
}

// SawFull notes that the server refused a call because all its places were taken.
func (b *Book) SawFull(now time.Time, id deck.BackendName) {
	b.with(id, func(e *entry) { e.fullUntil = now.Add(fullFor) })
}

// SawOther notes that another backend server has the address.
func (b *Book) SawOther(now time.Time, id deck.BackendName) {
	b.with(id, func(e *entry) { e.downUntil = now.Add(otherFor) })
}

// SawAbsent notes that the engine does not hold the model or adapter.
func (b *Book) SawAbsent(now time.Time, id deck.BackendName, m deck.ModelName, a deck.AdapterName) {
	b.with(id, func(e *entry) {
		if e.absent == nil {
			e.absent = make(map[held]time.Time)
		}
		e.absent[held{m, a}] = now.Add(absentFor)
		delete(e.present, held{m, a})
	})
}

// SawPresent notes that an order has put the adapter there.
func (b *Book) SawPresent(now time.Time, id deck.BackendName, m deck.ModelName, a deck.AdapterName) {
	b.with(id, func(e *entry) {
		if e.present == nil {
			e.present = make(map[held]time.Time)
		}
		e.present[held{m, a}] = now.Add(presentFor)
		delete(e.absent, held{m, a})
	})
}

func (b *Book) with(id deck.BackendName, f func(*entry)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.servers[id]; e != nil {
		f(e)
	}
}
