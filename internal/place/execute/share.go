package execute

import (
	"maps"
	"slices"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// The limits on model loads and on adapter loads in flight apply to all data centres together. The control leader
// leases out one half of each limit, rounded down: the pool. The data centres own the remainder in proportion to their engines.
const (
	// PoolLeaseDuration is the duration of a lease from a pool.
	PoolLeaseDuration = 5 * time.Second
	// ownedTurn is the time for which a data centre owns a load if there are more data centres than owned loads, before the next
	// data centres get their turn.
	ownedTurn = 10 * time.Second
)

// PoolSize returns the part of a limit that the control leader leases out; the data centres own the remainder.
func PoolSize(limit int) int {
	return limit / 2
}

// OwnedShare returns the part of a limit that a data centre owns at the given time, in proportion to its number of engines.
// Each data centre owns at least one load; if there are fewer loads than data centres, they take turns.
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
		// In each turn, as many successive data centres in order of name as there are owned loads own one load each; the next
		// turn continues after them. Adding 2*len(centres) keeps the dividend positive.
		turn := int(now.UnixNano() / int64(ownedTurn) % int64(len(centres)))
		if (index-turn*owned%len(centres)+2*len(centres))%len(centres) < owned {
			return 1
		}
		return 0
	}
	// Each data centre owns one load. The remainder is divided by engines, rounded so that the parts add up to it.
	before := 0
	for _, c := range centres[:index] {
		before += engines[c]
	}
	remainder := owned - len(centres)
	return 1 + remainder*(before+engines[dc])/total - remainder*before/total
}

// A Share holds the part of a limit that a data centre has leased from the pool. The zero value has no lease.
type Share struct {
	leased    int
	expiresAt time.Time
}

// RecordLease records the number that the pool granted. The lease starts when the request was sent.
func (s *Share) RecordLease(granted int, sentAt time.Time) {
	s.leased, s.expiresAt = granted, sentAt.Add(PoolLeaseDuration)
}

// Leased returns the leased number, or 0 if the lease has expired at the given time.
func (s *Share) Leased(now time.Time) int {
	if !now.Before(s.expiresAt) {
		return 0
	}
	return s.leased
}

// A Pool leases parts of a limit to data centres. The control leader keeps it in memory only.
type Pool struct {
	size       int
	grantsFrom time.Time // earliest time of the first grant
	grants     map[deck.DataCentre]poolGrant
}

// A poolGrant is the pool's record of the last lease that it granted to a data centre.
type poolGrant struct {
	count             int
	expiresAt         time.Time
	previousCount     int // of the grant that this one replaced, if that was larger; otherwise 0
	previousExpiresAt time.Time
}

// NewPool returns the pool of a control leader that is elected at the given time. It grants nothing for the duration of one
// lease because the previous leader's leases are unknown.
func NewPool(limit int, now time.Time) *Pool {
	return &Pool{size: PoolSize(limit), grantsFrom: now.Add(PoolLeaseDuration), grants: make(map[deck.DataCentre]poolGrant)}
}

// Grant leases up to the wanted number of loads to a data centre and returns the number. The lease replaces the data centre's
// previous one. If several data centres hold leases, each gets at most an equal part, and at least one load if one is free.
func (p *Pool) Grant(dc deck.DataCentre, wanted int, now time.Time) int {
	if now.Before(p.grantsFrom) {
		return 0
	}
	maps.DeleteFunc(p.grants, func(_ deck.DataCentre, l poolGrant) bool { return !now.Before(l.expiresAt) })
	last, known := p.grants[dc]
	competitors := len(p.grants)
	if !known {
		competitors++
	}
	free := p.size
	for other, l := range p.grants {
		if other != dc {
			free -= l.usable(now)
		}
	}
	granted := max(0, min(wanted, free))
	if competitors > 1 {
		granted = min(granted, max(1, (p.size+competitors-1)/competitors))
	}
	next := poolGrant{count: granted, expiresAt: now.Add(PoolLeaseDuration)}
	if known && last.count > granted {
		next.previousCount, next.previousExpiresAt = last.count, last.expiresAt
	}
	p.grants[dc] = next
	return granted
}

// usable returns the number of loads that the data centre may be using. If the grant before this one was larger, its number
// counts until it expires, because the data centre may not have received this one. Grants before that one are not considered.
func (l poolGrant) usable(now time.Time) int {
	if now.Before(l.previousExpiresAt) {
		return max(l.count, l.previousCount)
	}
	return l.count
}
