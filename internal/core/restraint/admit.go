package restraint

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	// permitTimeout covers a round trip between regions; a request that waits for a permit has a caller who waits.
	permitTimeout = 200 * time.Millisecond

	// retryPermits is how long a VM waits before it asks again after nobody could grant a permit.
	retryPermits = 500 * time.Millisecond

	// slotTime is the longest time for which a VM may use its turn while nobody grants permits.
	slotTime = time.Second
)

// SetVMs sets the number of entry VMs that share the limits of backend servers.
func (t *Table) SetVMs(now time.Time, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.vms.Set(now, n)
}

// A question is a message about a server to the VM that grants permits.
type question struct {
	server  *server
	request deck.PermitRequest
	heardAt time.Time // when this VM last heard the limit
}

// Admit reports whether a request may be sent to the given incarnation of a server within the limit that it has named. It asks for a
// permit if need be, for permitTimeout at most. If it returns false, the server is restrained for a while or ctx has ended.
func (t *Table) Admit(ctx context.Context, name deck.BackendName, incarnation string) bool {
	q, admitted := t.admitWithoutPermit(time.Now(), name, incarnation)
	if q == nil {
		return admitted
	}
	answer, err := t.ask(ctx, q.request)
	if q.request.Ended {
		return true // if the message is lost, the other VMs hear of the end later
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now, s := time.Now(), q.server
	switch {
	case answer.Ended && s.limitHeardAt.Equal(q.heardAt): // this VM has not heard it again meanwhile
		t.setLimit(name, s, false, 0)
		return true
	case ctx.Err() != nil:
		s.askAfter = now // the caller has left; the next request asks
		return false
	case err != nil:
		answer = t.ownTurn(now, name, s)
	}
	s.askAfter = now.Add(answer.Wait)
	return answer.Granted
}

// admitWithoutPermit reports whether a request may be sent to a server, unless that needs a question.
func (t *Table) admitWithoutPermit(now time.Time, name deck.BackendName, incarnation string) (q *question, admitted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[name]
	switch {
	case s == nil || !s.is(incarnation):
		return nil, true
	case !s.limited && s.limitEndedAt.IsZero():
		return nil, true
	case s.limited && t.takeOwn(now, s):
		return nil, true
	case s.limited && now.Before(s.askAfter):
		return nil, false
	default:
		return &question{s, t.permitRequest(now, name, s), s.limitHeardAt}, false
	}
}

// permitRequest returns a request for a permit or, once, the report that the limit has ended. The caller holds the lock.
func (t *Table) permitRequest(now time.Time, name deck.BackendName, s *server) deck.PermitRequest {
	r := deck.PermitRequest{VM: t.Self, Server: name, Incarnation: s.incarnation}
	if !s.limited {
		r.Ended, r.Age = true, now.Sub(s.limitEndedAt)
		s.limitEndedAt = time.Time{}
		return r
	}
	r.Limit, r.Age = s.limit, now.Sub(s.limitHeardAt)
	s.askAfter = now.Add(permitTimeout) // until there is an answer, one request asks
	return r
}

func (t *Table) ask(ctx context.Context, r deck.PermitRequest) (deck.PermitAnswer, error) {
	if t.Permits == nil {
		return deck.PermitAnswer{}, ErrNotLeading
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	return t.Permits.TakePermit(ctx, r)
}

// takeOwn takes a request from this VM's own part of a limit. The caller holds the lock.
func (t *Table) takeOwn(now time.Time, s *server) bool {
	rate := t.ownRate(s)
	if rate == 0 {
		return false
	}
	s.own.refill(now, rate)
	return s.own.take()
}

// ownRate returns the rate of this VM's own part of a limit; 0 without one. The caller holds the lock.
func (t *Table) ownRate(s *server) float64 {
	if t.vms.Count() == 0 {
		return 0
	}
	return ownRate(s.limit, t.vms.Count())
}

// limitedUntil returns when a request may be sent to a server within its limit, or a permit asked for; zero if now. The caller holds
// the lock.
func (t *Table) limitedUntil(now time.Time, s *server) time.Time {
	if !s.limited || !now.Before(s.askAfter) {
		return time.Time{}
	}
	rate := t.ownRate(s)
	if rate == 0 {
		return s.askAfter
	}
	s.own.refill(now, rate)
	next := now.Add(s.own.untilNext(rate))
	switch {
	case !next.After(now):
		return time.Time{}
	case next.Before(s.askAfter):
		return next
	default:
		return s.askAfter
	}
}

// ownTurn divides a limit while nobody grants permits: each VM that has no part of its own has a turn now and then, by the time of day,
// in which it may send one request. The turns add up to ownShare of the limit, since some VMs may still get permits. The caller holds
// the lock.
func (t *Table) ownTurn(now time.Time, name deck.BackendName, s *server) deck.PermitAnswer {
	if t.vms.Count() == 0 || t.ownRate(s) > 0 {
		return deck.PermitAnswer{Wait: retryPermits}
	}
	period := time.Duration(float64(t.vms.Count()) / (ownShare * max(minRate, s.limit)) * float64(time.Second))
	const steps = 1 << 16
	phase := time.Duration(float64(xxhash.Sum64String(string(t.Self)+" "+string(name))%steps) / steps * float64(period))
	elapsed := time.Duration(now.UnixNano()) + phase
	turn := int64(elapsed / period)
	if elapsed%period < min(slotTime, period) && turn != s.lastTurn {
		s.lastTurn = turn
		return deck.PermitAnswer{Granted: true, Wait: min(retryPermits, period-elapsed%period)}
	}
	return deck.PermitAnswer{Wait: min(retryPermits, period-elapsed%period)}
}
