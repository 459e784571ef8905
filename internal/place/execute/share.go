package execute

import (
	"maps"
	"slices"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Times of the shares of the weight store and of adapter loads.
const (
	// PoolLease is how long a part of the pool is leased out.
	PoolLease = 5 * time.Second
	// ownedTurn is how long a data centre owns a load where there are more data centres than owned loads.
	ownedTurn = 10 * time.Second
)

// PoolSize returns the part of a limit that the control leader leases out; the data centres own the rest.
func PoolSize(limit int) int {
	return limit / 2
}

// OwnedShare returns the part of a limit that a data centre owns at the given time, by its share of all engines. Each data
// centre owns at least one load, which it has in turn with others where there are not enough.
func OwnedShare(limit int, engines map[deck.DataCentre]int, dc deck.DataCentre, now time.Time) int {
	total, owned := 0, limit-PoolSize(limit)
	for _, n := range engines {
		total += n
	}
	centres := slices.Sorted(maps.Keys(engines))
	index := slices.Index(centres, dc)
	if index < 0 || total == 0 || owned <= 0 {
		return 0
	}
	if owned < len(centres) {
		turn := int(now.UnixNano() / int64(ownedTurn) % int64(len(centres)))
		if (index-turn*owned%len(centres)+2*len(centres))%len(centres) < owned {
			return 1
		}
		return 0
	}
	// One load each, and the remainder by engines, rounded so that the parts add up to it.
	before := 0
	for _, c := range centres[:index] {
		before += engines[c]
	}
	remainder := owned - len(centres)
	return 1 + remainder*(before+engines[dc])/total - remainder*before/total
}

// A Share is a data centre's part of a limit: what it owns and what it has leased from the pool.
type Share struct {
	leased    int
	expiresAt time.Time
}

// Lease records the pool's answer to a request that was sent at the given time, from which the lease counts.
func (s *Share) Lease(granted int, sentAt time.Time) {
	s.leased, s.expiresAt = granted, sentAt.Add(PoolLease)
}

// Leased returns the part of the pool that the data centre may use at the given time.
func (s *Share) Leased(now time.Time) int {
	if !now.Before(s.expiresAt) {
		return 0
	}
	return s.leased
}

// A Pool leases a limit's pool to data centres; the control leader keeps it in memory.
type Pool struct {
	size       int
	grantsFrom time.Time
	leases     map[deck.DataCentre]poolLease
}

type poolLease struct {
	count             int
	expiresAt         time.Time
	previousCount     int // a larger lease that this one replaced
	previousExpiresAt time.Time
}

// NewPool returns the pool of a control leader that begins to lead at the given time. It grants nothing for one lease,
// because the previous leader's leases are unknown.
func NewPool(limit int, now time.Time) *Pool {
	return &Pool{size: PoolSize(limit), grantsFrom: now.Add(PoolLease), leases: make(map[deck.DataCentre]poolLease)}
}

// Grant leases up to the wanted number of loads to a data centre in place of what it leased before. Where data centres
// compete, each gets an equal part first.
func (p *Pool) Grant(dc deck.DataCentre, wanted int, now time.Time) int {
	if now.Before(p.grantsFrom) {
		return 0
	}
	maps.DeleteFunc(p.leases, func(_ deck.DataCentre, l poolLease) bool { return !now.Before(l.expiresAt) })
	last, known := p.leases[dc]
	competitors := len(p.leases)
	if !known {
		competitors++
	}
	free := p.size
	for other, l := range p.leases {
		if other != dc {
			free -= l.usable(now)
		}
	}
	granted := max(0, min(wanted, free))
	if competitors > 1 {
		granted = min(granted, max(1, (p.size+competitors-1)/competitors))
	}
	next := poolLease{count: granted, expiresAt: now.Add(PoolLease)}
	if known && last.count > granted {
		next.previousCount, next.previousExpiresAt = last.count, last.expiresAt
	}
	p.leases[dc] = next
	return granted
}

// usable returns what the data centre may use. It may not have received the answer that replaced a larger lease, which
// therefore counts until it ends.
func (l poolLease) usable(now time.Time) int {
	if now.Before(l.previousExpiresAt) {
		return max(l.count, l.previousCount)
	}
	return l.count
}
