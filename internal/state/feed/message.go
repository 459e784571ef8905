package feed

import (
	"context"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A Request asks a source for changes.
type Request struct {
	VM         deck.VMName
	DataCentre deck.DataCentre
	After      uint64                    // state version in force on the polling VM, which thereby confirms it
	Wait       time.Duration             // how long the source holds the request if there is nothing new
	Payloads   map[string]PayloadVersion // versions of the payloads that the polling VM has
	Digest     uint64                    // digest of those versions, sent instead of Payloads; 0 if Payloads is set
	Confirmed  []Confirmation            // by VMs that poll through the polling VM
}

// A Response is a source's response to a poll.
type Response struct {
	Version        uint64 // the source's state version
	Proven         bool
	ProofAge       time.Duration // at the time of the response; meaningless unless Proven
	HoldTime       time.Duration // from the arrival of the request to the response
	Deltas         []Delta       // tickets accepted after the request's version, in order
	State          *deck.State   // whole state, if the deltas do not reach back to the request's version
	Payloads       []Payload     // payloads newer than the request's
	PayloadsDiffer bool          // the payload digests differ; the next request must list the payloads
}

// A Delta is an accepted ticket with the state versions before and after it.
type Delta struct {
	Previous uint64
	Version  uint64
	Ticket   deck.Ticket
}

// A PayloadVersion orders the values of a payload across its publishers, by Epoch and then by Sequence.
type PayloadVersion struct {
	Epoch    uint64 // the publisher's fencing token, or 0 for payloads of the replicated log
	Sequence uint64
}

// Less reports whether v is older than o.
func (v PayloadVersion) Less(o PayloadVersion) bool {
	if v.Epoch != o.Epoch {
		return v.Epoch < o.Epoch
	}
	return v.Sequence < o.Sequence
}

// A Payload is an opaque value that is distributed with the state.
type Payload struct {
	Name       string
	DataCentre deck.DataCentre // the VMs that receive it; empty for all
	Version    PayloadVersion
	Data       []byte
}

// A Confirmation reports the state version that a VM had in force, and the age of that report.
type Confirmation struct {
	VM      deck.VMName
	Version uint64
	Age     time.Duration
}

// A Transport polls sources and sends payloads to other VMs.
type Transport interface {
	// Poll sends a request to a source.
	Poll(ctx context.Context, source deck.Peer, r Request) (Response, error)

	// Offer asks a VM whether it lacks a payload or has an older version of it.
	Offer(ctx context.Context, to deck.Peer, name string, v PayloadVersion) (wanted bool, err error)

	// Publish sends a payload to a VM.
	Publish(ctx context.Context, to deck.Peer, p Payload) error
}
