package feed

import (
	"context"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A Request is a poll of a source.
type Request struct {
	VM         deck.VMName
	DataCentre deck.DataCentre
	After      uint64                    // the state version in force on the polling VM, which confirms it
	Wait       time.Duration             // how long the source holds the request if it has nothing new
	Payloads   map[string]PayloadVersion // payloads that the polling VM has
	Digest     uint64                    // instead of Payloads: their digest; 0 if Payloads is given
	Confirmed  []Confirmation            // VMs that poll through the polling VM
}

// An Answer is a source's answer to a poll.
type Answer struct {
	Version  uint64 // the source's state version
	Proven   bool
	ProofAge time.Duration // at the time of the answer; of no meaning unless Proven
	Held     time.Duration // from the request's arrival to the answer
	Deltas   []Delta       // tickets after the request's version, in order
	State    *deck.State   // the whole state, if the deltas do not reach back far enough
	Payloads []Payload     // those newer than the request's
	Differ   bool          // the digests differ; the next request must list the payloads
}

// A Delta is an accepted ticket with the state versions before and after it.
type Delta struct {
	Previous uint64
	Version  uint64
	Ticket   deck.Ticket
}

// A PayloadVersion orders the values of a payload over all of its publishers.
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

// A Payload is an opaque value that travels with the feed.
type Payload struct {
	Name       string
	DataCentre deck.DataCentre // the VMs that receive it; empty for all
	Version    PayloadVersion
	Data       []byte
}

// A Confirmation says which state version a VM had in force and how long ago it said so.
type Confirmation struct {
	VM      deck.VMName
	Version uint64
	Age     time.Duration
}

// A Transport polls sources and publishes payloads to them.
type Transport interface {
	// Poll sends a request to a source.
	Poll(ctx context.Context, source deck.Peer, r Request) (Answer, error)

	// Offer asks a VM whether it lacks a payload or has an older version of it.
	Offer(ctx context.Context, to deck.Peer, name string, v PayloadVersion) (wanted bool, err error)

	// Publish hands a payload to a VM.
	Publish(ctx context.Context, to deck.Peer, p Payload) error
}
