package lease

import (
	"context"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Default parameters of the lease.
const (
	DefaultDuration   = 3 * time.Second
	DefaultDriftBound = 0.01 // relative rate by which two monotonic clocks may differ
)

// An Action is what a request asks of a voter.
type Action int

// An acquisition takes two rounds: ActAcquire collects proposals for the fencing token, and ActConfirm records the
// highest of them at a majority of the voters, so that no later holder can get a lower token. ActConfirm also renews the
// lease.
const (
	ActAcquire Action = iota
	ActConfirm
	ActRelease
)

// A Claimant identifies one acquisition of the lease by one process.
type Claimant struct {
	VM       deck.VMName
	Instance string // random for each process, so that a restarted VM is a different claimant
	Attempt  uint64 // increases with each acquisition of the process
}

// A Request is a message from a holder or candidate to a voter.
type Request struct {
	DataCentre deck.DataCentre
	Claimant   Claimant
	Action     Action
	Round      uint64      // increases with each request that the process sends to all voters
	Token      uint64      // fencing token to record, for ActConfirm
	Successor  deck.VMName // preferred next holder, for ActRelease; may be empty
	Wall       time.Time   // the sender's wall clock
}

// A Response is a voter's response to a Request.
type Response struct {
	Granted   bool
	Token     uint64        // proposed token if an acquisition is granted, otherwise the highest token that the voter knows
	Previous  uint64        // highest token that the voter had confirmed before
	Holder    deck.VMName   // VM that has this voter's vote, if that is why the voter refused
	Remaining time.Duration // time until the voter may grant its vote to the claimant, if it refused
	Wall      time.Time     // the voter's wall clock
}

// A Handover transfers the lease to a successor, which then need not wait for the end of the previous lease.
type Handover struct {
	DataCentre deck.DataCentre
	From       deck.VMName
	Token      uint64 // fencing token of the lease that ended
	Ledger     []byte // encoded state of the placement leader for its successor; opaque to this package
}

// A Transport sends lease messages between VMs.
type Transport interface {
	// SendRequest sends a request to a voter and returns its response.
	SendRequest(ctx context.Context, voter deck.Peer, r Request) (Response, error)

	// HandOver sends a handover to the successor.
	HandOver(ctx context.Context, to deck.Peer, h Handover) error
}
