package feed

import (
	"context"
	"encoding/json"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/state/statemachine"
)

// PoisonPayload is the name of the payload with the refused request digests.
const PoisonPayload = "poison"

// Intervals between proofs of a control replica. A leader's proof is at most as old as two heartbeats plus
// heartbeatProofInterval; on a follower it is older by controlPollWait, and on a relay by another defaultPollWait, each plus
// two one-way network delays. The sum stays below MaxProofAge for delays below 90 ms.
const (
	heartbeatProofInterval = 100 * time.Millisecond // after a proof by heartbeats, which costs no extra message
	proofCheckInterval     = 500 * time.Millisecond // between checks of the age of a follower's proof
)

// barrierProofAge is the age of proof beyond which a control replica that gets no newer one from the leader's feed starts a
// read barrier itself.
const barrierProofAge = 2 * time.Second

type poisonDocument struct {
	Digest  string `json:"digest"`
	UntilMS int64  `json:"until-ms"`
}

// A StoreUpdater installs what the state machine accepts in the store of a control replica.
type StoreUpdater struct {
	Store *Store
}

var _ statemachine.Observer = StoreUpdater{}

// OnTicketAccepted implements statemachine.Observer.OnTicketAccepted.
func (u StoreUpdater) OnTicketAccepted(previous uint64, t deck.Ticket, s deck.State) {
	err := u.Store.Append([]Delta{{Previous: previous, Version: s.Version(), Ticket: t}})
	if err != nil {
		u.Store.Install(s)
	}
}

// OnRestore implements statemachine.Observer.OnRestore.
func (u StoreUpdater) OnRestore(s deck.State) {
	u.Store.Install(s)
}

// OnPoisonChange implements statemachine.Observer.OnPoisonChange.
func (u StoreUpdater) OnPoisonChange(index uint64, refused []statemachine.RefusedDigest) {
	documents := make([]poisonDocument, 0, len(refused))
	for _, p := range refused {
		documents = append(documents, poisonDocument{p.Digest, p.ExpiresAt.UnixMilli()})
	}
	data, err := json.Marshal(documents)
	if err != nil {
		panic(err)
	}
	u.Store.Publish(Payload{Name: PoisonPayload, Version: PayloadVersion{Sequence: index}, Data: data})
}

// A Prover renews the proof of freshness on a control replica.
type Prover struct {
	Log   deck.Log
	Store *Store
	Clock deck.Clock
}

// Run renews the proof periodically until the context ends. The leader proves its state by its heartbeats; the other replicas
// receive the proof through the leader's feed, and start a read barrier only if that fails.
func (p Prover) Run(ctx context.Context) error {
	for {
		interval := heartbeatProofInterval
		if !p.proveByHeartbeat(ctx) {
			interval = proofCheckInterval
			if p.barrierDue() {
				p.ProveByBarrier(ctx)
			}
		}
		if !deck.Sleep(ctx, interval) {
			return nil
		}
	}
}

func (p Prover) proveByHeartbeat(ctx context.Context) bool {
	h, ok := p.Log.(deck.HeartbeatBarrier)
	if !ok {
		return false
	}
	at := p.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, MaxPollWait)
	defer cancel()
	if h.HeartbeatBarrier(ctx) != nil {
		return false
	}
	p.Store.RecordProof(at, 0)
	return true
}

func (p Prover) barrierDue() bool {
	age, ok := p.Store.ProofAge()
	return !ok || age > barrierProofAge
}

// ProveByBarrier proves the current state by a read barrier, after which the StoreUpdater has installed every ticket that was
// committed before it.
func (p Prover) ProveByBarrier(ctx context.Context) {
	at := p.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, MaxPollWait)
	defer cancel()
	if p.Log.Barrier(ctx) == nil {
		p.Store.RecordProof(at, 0)
	}
}
