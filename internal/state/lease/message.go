package lease

import (
	"context"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Default times of the lease.
const (
	Duration   = 3 * time.Second
	DefaultDriftBound = 0.01 // relative rate at which two monotonic clocks may differ
)

// An Action is what a request asks of a voter.
type Action int

// The actions. An acquisition takes two rounds: ActAcquire collects proposals for the fencing token, and ActConfirm
// records the highest of them at a majority, so that no later holder can be given a lower one. Renewals are confirmations.
const (
	ActAcquire Action = iota
	ActConfirm
	ActRelease
)

// A Claimant is one acquisition of the lease by one process.
type Claimant struct {
	VM       deck.VMName
	Instance string // random for each process, so that a restarted VM is another claimant
	Attempt  uint64 // grows with each acquisition of the process
}

// A Request is a message from a holder or candidate to a voter.
type Request struct {
	DataCentre deck.DataCentre
	Claimant   Claimant
	Action     Action
	Round      uint64 // grows with each broadcast of the process
	Token      uint64 // for ActConfirm
	Successor  deck.VMName
	Wall       time.Time // the sender's wall clock
}

// A Response is a voter's answer.
type Response struct {
	Granted   bool
	Token     uint64        // proposed token if an acquisition is granted, otherwise the highest token known
	Previous  uint64        // highest token that was confirmed before
	Holder    deck.VMName   // who has this voter's vote, if it was refused for that reason
	Remaining time.Duration // until this voter may grant, if it refuses
	Wall      time.Time     // the voter's wall clock
}

// A Handover passes the lease on without a wait.
type Handover struct {
	DataCentre deck.DataCentre
	From       deck.VMName
	Token      uint64 // of the lease that has ended
	Ledger     []byte // opaque
}

// A Transport carries lease messages.
type Transport interface {
	// Ask sends a request to a voter.
	Ask(ctx context.Context, voter deck.Peer, r Request) (Response, error)

	// HandOver sends a handover to the successor.
	HandOver(ctx context.Context, to deck.Peer, h Handover) error
}
