package allowance

import (
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	// aheadFloor is the part of a bucket that is kept for calls that wait: credit for calls to come is granted from what is above it.
	aheadFloor = 0.3

	// aheadPart is the part of a bucket that VMs may hold together for calls to come.
	aheadPart = 0.4

	// forgetVM is the time after which a VM that sent no request is forgotten; all that it held has lapsed then.
	forgetVM = 2 * shareLife

	// maxBacklog bounds the time for which calls that got no credit count as waiting for it.
	maxBacklog = 4 * time.Second
)

// A Ledger is the account of all allowances. The zero value has no customers; it is not safe for concurrent use. A new leader starts with
// a new ledger, which expects that VMs may use shares that another leader gave them.
type Ledger struct {
	Bounds Bounds

	// Follows says that this leader follows directly after one that was settled, so that its buckets don't begin empty.
	Follows bool

	accounts  map[deck.CustomerName]*account
	vms       map[deck.VMName]*vm
	startedAt time.Time
	prunedAt  time.Time
}

// A vm is what the ledger knows of an entry VM.
type vm struct {
	process uint64
	serial  uint64    // of the last request
	askedAt time.Time // when it arrived
	heardAt time.Time // when the last request arrived whose answer the VM is known to have received
}

// SetCustomers replaces the customers and their allowances.
func (l *Ledger) SetCustomers(now time.Time, customers []deck.Customer) {
	first := l.accounts == nil
	if first {
		l.startedAt = now
	}
	accounts := make(map[deck.CustomerName]*account, len(customers))
	for _, c := range customers {
		a := l.accounts[c.Name]
		if a == nil {
			a = newAccount(now, l.startedAt)
		}
		l.refill(now, a)
		a.setTerms(newTerms(c.Allowance, l.Bounds))
		if first && l.Follows {
			a.bucket = min(a.terms.start, a.room(now))
		}
		accounts[c.Name] = a
	}
	l.accounts = accounts
}

// Take answers a request; it returns false if a later request of the same process has been answered.
func (l *Ledger) Take(now time.Time, r deck.CreditRequest) (deck.CreditAnswer, bool) {
	v := l.vms[r.VM]
	switch {
	case v == nil:
		v = l.addVM(now, r)
	case v.process != r.Process:
		l.endProcess(now, r.VM)
		v = l.addVM(now, r)
	case r.Serial <= v.serial:
		return deck.CreditAnswer{}, false
	case r.Heard == v.serial:
		l.refillAll(now)
		v.heardAt = v.askedAt
	}
	v.serial, v.askedAt = r.Serial, now
	answer := deck.CreditAnswer{Grants: make([]deck.CreditGrant, len(r.Needs))}
	for i, need := range r.Needs {
		a := l.accounts[need.Customer]
		if a == nil {
			continue
		}
		l.refill(now, a)
		answer.Grants[i] = a.grant(now, r.VM, need)
	}
	return answer, true
}

func (l *Ledger) addVM(now time.Time, r deck.CreditRequest) *vm {
	if l.vms == nil {
		l.vms = make(map[deck.VMName]*vm)
	}
	if now.Sub(l.prunedAt) > forgetVM {
		l.prune(now)
	}
	v := &vm{process: r.Process}
	l.vms[r.VM] = v
	return v
}

// prune forgets VMs that have long sent no request.
func (l *Ledger) prune(now time.Time) {
	l.prunedAt = now
	for name, v := range l.vms {
		if now.Sub(v.askedAt) > forgetVM {
			l.endProcess(now, name)
			delete(l.vms, name)
		}
	}
}

// endProcess takes back what the VM's process, which has ended, held.
func (l *Ledger) endProcess(now time.Time, name deck.VMName) {
	l.refillAll(now)
	for _, a := range l.accounts {
		delete(a.shares, name)
		delete(a.ahead, name)
	}
}

func (l *Ledger) refillAll(now time.Time) {
	for _, a := range l.accounts {
		l.refill(now, a)
	}
}

// refill adds to the bucket what has come since the last time, except for what VMs may have used of their shares.
func (l *Ledger) refill(now time.Time, a *account) {
	elapsed := now.Sub(a.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	amount := elapsed * a.terms.rate
	for name, s := range a.shares {
		from := l.heardAt(name).Add(shareDelay)
		amount -= overlap(from, s.until, a.refilledAt, now) * a.terms.rateOfShare(s.size)
		if now.After(s.until) {
			delete(a.shares, name)
		}
	}
	amount -= overlap(a.refilledAt, a.foreignUntil, a.refilledAt, now) * a.terms.rateOfShare(a.foreignShares)
	if now.After(a.foreignUntil) {
		a.foreignShares = 0
	}
	a.refilledAt = now
	a.add(now, max(0, amount))
}

// heardAt returns when a request of the VM arrived whose answer it is known to have received; zero if there is none.
func (l *Ledger) heardAt(name deck.VMName) time.Time {
	if v := l.vms[name]; v != nil {
		return v.heardAt
	}
	return time.Time{}
}

// overlap returns how many seconds two periods have in common.
func overlap(from1, until1, from2, until2 time.Time) float64 {
	if from2.After(from1) {
		from1 = from2
	}
	if until2.Before(until1) {
		until1 = until2
	}
	return max(0, until1.Sub(from1).Seconds())
}
