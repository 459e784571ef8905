package deck

import (
	"context"
	"time"
)

// A CreditNeed says what a VM needs of a customer's allowance. All amounts are in the units of the allowance.
type CreditNeed struct {
	Customer CustomerName
	Calls    float64 // for calls that wait
	Least    float64 // for the smallest of them; less is of no use
	Ahead    float64 // for calls to come
	Returned float64 // what the VM gives back of what it was granted for calls to come
	Held     float64 // what it still holds
	Share    float64 // the VM's share of the allowance while it can't reach a leader, as it holds it; 0 for none
	Wanted   float64 // the share that it wants
}

// A CreditRequest asks for credit for calls of customers with allowances.
type CreditRequest struct {
	VM      VMName
	Process uint64 // differs for each start of the VM's process
	Serial  uint64 // of the request; grows from 1
	Heard   uint64 // serial of the last request whose answer the VM has received; 0 for none
	Needs   []CreditNeed
}

// A CreditGrant answers a CreditNeed.
type CreditGrant struct {
	Calls float64
	Ahead float64
	Share float64 // the VM's share from now on

	// ShareRate is the rate, in units a second, at which the share fills while the VM can't reach a leader.
	ShareRate float64

	// Wait is the time until there will be credit for calls that got none; 0 if all got some.
	Wait time.Duration

	// Lease and AheadLease are the times, from when the request was sent, after which credit for calls that wait and for calls to come
	// must not be used; 0 if the customer is unknown.
	Lease, AheadLease time.Duration
}

// A CreditAnswer holds a grant for each need of a request, in its order.
type CreditAnswer struct {
	Grants []CreditGrant
}

// A CreditSource grants credit out of customers' allowances.
type CreditSource interface {
	// TakeCredit asks for credit. After an error the VM must not use any that the request may have been granted.
	TakeCredit(ctx context.Context, r CreditRequest) (CreditAnswer, error)
}
