package allowance

import (
	"math"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// An account is the ledger's state of one customer.
type account struct {
	terms      terms
	bucket     float64
	createdAt  time.Time
	refilledAt time.Time
	ahead      map[deck.VMName]lot   // what VMs may still give back
	shares     map[deck.VMName]share // of VMs, as far as this ledger knows

	// foreignShares is the size of the shares that VMs may hold from another leader without having told this one, until foreignUntil.
	foreignShares float64
	foreignUntil  time.Time

	backlogEnd time.Time // when all calls that were told to wait could have had their credit
}

// A lot is an amount of credit that lapses.
type lot struct {
	amount float64
	until  time.Time
}

// A share is what a VM may use while it can't reach a leader.
type share struct {
	size  float64
	until time.Time
}

func newAccount(now, startedAt time.Time) *account {
	return &account{
		createdAt: now, refilledAt: now, foreignUntil: startedAt.Add(withMargin(shareLife)),
		ahead: make(map[deck.VMName]lot), shares: make(map[deck.VMName]share), foreignShares: -1,
	}
}

// setTerms replaces the terms; what the bucket holds beyond its new size is lost.
func (a *account) setTerms(t terms) {
	if a.foreignShares < 0 || t.shares > a.terms.shares {
		a.foreignShares = max(a.foreignShares, t.shares-a.sumOfShares())
	}
	a.terms = t
	a.bucket = min(a.bucket, t.size)
}

// add adds an amount to the bucket, as far as there is room.
func (a *account) add(now time.Time, amount float64) {
	a.bucket = min(a.bucket+amount, a.room(now))
}

// room returns what the bucket may hold beside what VMs hold for calls to come, also from the leader before.
func (a *account) room(now time.Time) float64 {
	room := a.terms.size - a.sumAhead(now)
	if a.isNew(now) {
		room -= aheadPart * a.terms.size
	}
	return room
}

// isNew reports whether VMs may hold credit for calls to come that another leader granted. Until it has lapsed, this one grants none, so
// that there is never such credit of more than two leaders.
func (a *account) isNew(now time.Time) bool {
	return now.Sub(a.createdAt) <= withMargin(aheadTime)
}

func (a *account) sumAhead(now time.Time) float64 {
	sum := 0.0
	for name, l := range a.ahead {
		if now.After(l.until) {
			delete(a.ahead, name)
			continue
		}
		sum += l.amount
	}
	return sum
}

func (a *account) sumOfShares() float64 {
	sum := 0.0
	for _, s := range a.shares {
		sum += s.size
	}
	return sum
}

// grant answers a need of a VM at the time to which the bucket was refilled.
func (a *account) grant(now time.Time, name deck.VMName, n deck.CreditNeed) deck.CreditGrant {
	if a.terms.rate == 0 {
		return deck.CreditGrant{Calls: n.Calls, Ahead: n.Ahead, Lease: a.terms.lease, AheadLease: aheadTime}
	}
	a.takeBack(now, name, n)
	g := deck.CreditGrant{Lease: a.terms.lease, AheadLease: aheadTime, Share: a.grantShare(now, name, n)}
	g.ShareRate = a.terms.rateOfShare(g.Share)
	g.Calls = a.grantCalls(now, n)
	if short := n.Calls - g.Calls; short > 0 {
		g.Wait = a.wait(now, min(short, n.Least), short)
		return g
	}
	g.Ahead = a.grantAhead(now, name, n.Ahead)
	return g
}

// takeBack returns credit to the bucket that a VM held for calls to come and hasn't used. It must not have lapsed, since it would be
// counted in a second window otherwise.
func (a *account) takeBack(now time.Time, name deck.VMName, n deck.CreditNeed) {
	l, ok := a.ahead[name]
	if !ok || now.After(l.until) {
		return
	}
	returned := min(n.Returned, l.amount)
	a.ahead[name] = lot{min(l.amount-returned, n.Held), l.until}
	a.add(now, max(0, returned))
}

// grantCalls grants credit for calls that wait, as many as the smallest of them would make whole. A call that counts more than the bucket
// can hold gets what the shares don't hold besides, and the bucket owes that.
func (a *account) grantCalls(now time.Time, n deck.CreditNeed) float64 {
	switch {
	case n.Calls <= 0 || n.Least <= 0:
		return 0
	case n.Least <= a.bucket:
		granted := min(n.Calls, math.Floor(a.bucket/n.Least)*n.Least)
		a.bucket -= granted
		return granted
	case a.bucket >= a.room(now) && !a.isNew(now) && n.Least <= a.bucket+a.roomForShares():
		a.bucket -= n.Least
		return n.Least
	default:
		return 0
	}
}

// roomForShares returns how much may still be given to VMs as shares.
func (a *account) roomForShares() float64 {
	return a.terms.shares - a.sumOfShares() - a.foreignShares + min(0, a.bucket)
}

func (a *account) grantAhead(now time.Time, name deck.VMName, wanted float64) float64 {
	held := a.sumAhead(now)
	granted := min(wanted, a.bucket-aheadFloor*a.terms.size, aheadPart*a.terms.size-held)
	if granted <= 0 || a.isNew(now) {
		return 0
	}
	a.bucket -= granted
	a.ahead[name] = lot{a.ahead[name].amount + granted, now.Add(withMargin(aheadTime))}
	return granted
}

// grantShare books the share that a VM holds, or gives it one if there is room.
func (a *account) grantShare(now time.Time, name deck.VMName, n deck.CreditNeed) float64 {
	known := a.shares[name].size
	if n.Share > known { // from another leader
		a.foreignShares = max(0, a.foreignShares-(n.Share-known))
	}
	delete(a.shares, name)
	size := n.Share // only the VM gives it up, so that it never holds more than is booked
	if n.Wanted > size && n.Wanted <= a.roomForShares() {
		size = n.Wanted
	}
	if size > 0 {
		a.shares[name] = share{size, now.Add(withMargin(shareLife))}
	}
	return size
}

// wait returns the time until the smallest of the calls that got no credit will have it, and puts them all behind those that came before.
func (a *account) wait(now time.Time, smallest, all float64) time.Duration {
	ready := now.Add(max(0, seconds((smallest-a.bucket)/a.terms.rate)))
	if a.backlogEnd.After(ready) {
		ready = a.backlogEnd
	}
	a.backlogEnd = ready.Add(seconds(all / a.terms.rate))
	if latest := now.Add(maxBacklog); a.backlogEnd.After(latest) {
		a.backlogEnd = latest
	}
	return max(time.Millisecond, ready.Sub(now))
}
