package lease

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	renewInterval = time.Second

	// requestTimeout lets one renewal time out: the next one is sent 2.5 s after the last success, before the votes expire at
	// 2.97 s.
	requestTimeout = 500 * time.Millisecond

	raiseDelay            = 50 * time.Millisecond  // lets the other responses of a round arrive before the token is raised
	candidatePollInterval = 100 * time.Millisecond // between two checks of whether the lease is free
	delayPerRank          = 150 * time.Millisecond // for each candidate that precedes this VM
	maxRankDelay          = 2 * time.Second
)

// A Config configures an Elector.
type Config struct {
	Self        deck.Peer
	Peers       []deck.Peer
	LocalVoters *LocalVoters
	Transport   Transport
	Clock       deck.Clock
	Duration    time.Duration // 0 means DefaultDuration
	Drift       float64       // relative rate by which two monotonic clocks may differ; 0 means DefaultDriftBound
}

// An Elector acquires the placement lease of its data centre when the lease is free, and renews it while this VM holds it.
type Elector struct {
	cfg         Config
	voters      []deck.Peer
	done        chan struct{}
	tokenRaised chan struct{} // has a value after a voter or an engine reported a higher token

	mu            sync.Mutex
	candidate     *Candidate
	handover      Handover  // last one that was received
	handoverAt    time.Time // when it was received
	nextAttemptAt time.Time // earliest time of the next acquisition
	voteTaken     bool      // this VM's voter could not grant its vote at the last check
	skew          time.Duration
}

var _ deck.LeaseSource = (*Elector)(nil)

// NewElector returns an elector that is ready to run.
func NewElector(cfg Config) *Elector {
	if cfg.Duration == 0 {
		cfg.Duration = DefaultDuration
	}
	if cfg.Drift == 0 {
		cfg.Drift = DefaultDriftBound
	}
	e := &Elector{
		cfg: cfg, voters: SelectVoters(cfg.Self.DataCentre, cfg.Peers),
		done: make(chan struct{}), tokenRaised: make(chan struct{}, 1),
	}
	var names []deck.VMName
	for _, p := range e.voters {
		names = append(names, p.Name)
	}
	e.candidate = NewCandidate(cfg.Self.DataCentre, cfg.Self.Name, uuid.NewString(), names, cfg.Duration, cfg.Drift)
	return e
}

// Held implements deck.LeaseSource.Held.
func (e *Elector) Held() (deck.PlacementLease, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.candidate.Held(e.cfg.Clock.Now())
}

// RaiseTokenAbove makes the next renewal use a fencing token above the given one, which an engine has reported.
func (e *Elector) RaiseTokenAbove(seen uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.candidate.RaiseTokenAbove(seen)
	e.signalRaise()
}

// Skew returns the largest difference seen so far between this VM's wall clock and that of a voter.
func (e *Elector) Skew() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.skew
}

// Done returns a channel that is closed when Run has returned.
func (e *Elector) Done() <-chan struct{} {
	return e.done
}

// Run acquires and renews the lease until ctx ends, and then releases it.
func (e *Elector) Run(ctx context.Context) error {
	defer close(e.done)
	var g errgroup.Group
	for ctx.Err() == nil {
		_, held := e.Held()
		switch {
		case held:
			e.renew(ctx, &g)
			e.awaitRenewal(ctx)
		case e.mayAcquire():
			e.tryAcquire(ctx, &g)
		default:
			deck.Sleep(ctx, candidatePollInterval)
		}
	}
	if _, held := e.Held(); held {
		e.release(context.WithoutCancel(ctx), &g, "")
	}
	return g.Wait()
}

// mayAcquire reports whether this VM's own vote is free and the delay for candidates of a lower rank has passed.
func (e *Elector) mayAcquire() bool {
	now := e.cfg.Clock.Now()
	delay := e.cfg.LocalVoters.GrantDelay(e.cfg.Self.DataCentre, e.cfg.Self.Name)
	e.mu.Lock()
	defer e.mu.Unlock()
	if delay > 0 {
		e.voteTaken = true
		return false
	}
	if e.voteTaken {
		e.voteTaken = false
		e.delayAttempt(now.Add(e.rankDelay()))
	}
	return !now.Before(e.nextAttemptAt)
}

// rankDelay returns how long this VM waits so that the candidates of a lower rank can acquire the lease first.
func (e *Elector) rankDelay() time.Duration {
	preceding := rank(e.cfg.Self.DataCentre, e.cfg.Self.Name, e.cfg.Peers)
	return min(time.Duration(preceding)*delayPerRank, maxRankDelay)
}

// delayAttempt sets the earliest time of the next acquisition; a later time that was set before stays.
func (e *Elector) delayAttempt(t time.Time) {
	if t.After(e.nextAttemptAt) {
		e.nextAttemptAt = t
	}
}

// tryAcquire tries to acquire the lease. A candidate that does not get a majority releases its votes and backs off, so
// that others can try.
func (e *Elector) tryAcquire(ctx context.Context, g *errgroup.Group) {
	e.mu.Lock()
	request := e.candidate.Acquire(e.cfg.Clock.Now())
	e.mu.Unlock()
	if e.broadcast(ctx, g, request) && e.renew(ctx, g) {
		return
	}
	e.release(ctx, g, "")
	e.mu.Lock()
	e.delayAttempt(e.cfg.Clock.Now().Add(requestTimeout + e.rankDelay()))
	e.mu.Unlock()
}

// renew confirms the chosen token or renews the lease, and reports whether a majority granted it.
func (e *Elector) renew(ctx context.Context, g *errgroup.Group) bool {
	e.mu.Lock()
	request, ok := e.candidate.Confirm(e.cfg.Clock.Now())
	e.mu.Unlock()
	return ok && e.broadcast(ctx, g, request)
}

func (e *Elector) release(ctx context.Context, g *errgroup.Group, successor deck.VMName) {
	e.mu.Lock()
	request := e.candidate.Release(e.cfg.Clock.Now(), successor)
	e.mu.Unlock()
	e.broadcast(ctx, g, request)
}

// broadcast sends a request to all voters and returns as soon as a majority has granted it, or no majority can any more;
// it reports whether a majority did.
func (e *Elector) broadcast(ctx context.Context, g *errgroup.Group, request Request) bool {
	request.Wall = e.cfg.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	responded := make(chan struct{}, len(e.voters))
	var requests errgroup.Group
	for _, p := range e.voters {
		requests.Go(func() error {
			e.sendRequest(ctx, p, request)
			responded <- struct{}{}
			return nil
		})
	}
	g.Go(func() error {
		defer cancel()
		return requests.Wait()
	})
	for range e.voters {
		<-responded
		e.mu.Lock()
		decided, won := e.candidate.Decided()
		e.mu.Unlock()
		if decided {
			return won
		}
	}
	return false
}

// sendRequest sends a request to one voter and processes its response; an error counts as a refusal.
func (e *Elector) sendRequest(ctx context.Context, p deck.Peer, request Request) {
	var resp Response
	var err error
	if p.Name == e.cfg.Self.Name {
		resp = e.cfg.LocalVoters.Handle(request)
	} else {
		resp, err = e.cfg.Transport.SendRequest(ctx, p, request)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil {
		e.candidate.HandleResponse(p.Name, request, Response{})
		return
	}
	e.skew = max(e.skew, resp.Wall.Sub(request.Wall).Abs()-e.cfg.Clock.Now().Sub(request.Wall))
	e.candidate.HandleResponse(p.Name, request, resp)
	e.signalRaise()
}

// signalRaise wakes awaitRenewal if the next confirmation has a higher token than the last one. The caller holds e.mu.
func (e *Elector) signalRaise() {
	if !e.candidate.TokenRaised() {
		return
	}
	select {
	case e.tokenRaised <- struct{}{}:
	default:
	}
}

// awaitRenewal waits until the next renewal is due. It returns early after a voter refused because it knows a higher
// token: that voter's vote would stay free until the next regular renewal, its VM would try to acquire the lease and raise
// the token further, and the holder would change its token every second.
func (e *Elector) awaitRenewal(ctx context.Context) {
	t := time.NewTimer(renewInterval)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-e.tokenRaised:
		deck.Sleep(ctx, raiseDelay)
	}
}

// HandOver ends the lease and transfers it with the ledger to the given VM. The caller must have stopped sending
// operations. If the successor cannot be reached, the lease is released without a successor and an error is returned.
func (e *Elector) HandOver(ctx context.Context, to deck.Peer, ledger []byte) error {
	l, held := e.Held()
	if !held {
		return errors.New("hand over placement lease: this VM does not hold it")
	}
	var g errgroup.Group
	e.mu.Lock()
	request := e.candidate.Release(e.cfg.Clock.Now(), to.Name)
	e.delayAttempt(e.cfg.Clock.Now().Add(e.cfg.Duration))
	e.mu.Unlock()
	h := Handover{DataCentre: l.DataCentre, From: l.Holder, Token: l.FencingToken, Ledger: ledger}
	err := e.cfg.Transport.HandOver(ctx, to, h)
	if err != nil {
		request.Successor = ""
	}
	e.broadcast(ctx, &g, request)
	_ = g.Wait()
	return errors.Wrap(err, "hand over placement lease to the successor")
}

// ReceiveHandover stores a handover from the previous holder; handovers of another data centre or with a token that is not above
// the stored one's are ignored.
func (e *Elector) ReceiveHandover(h Handover) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if h.DataCentre == e.cfg.Self.DataCentre && h.Token > e.handover.Token {
		e.handover, e.handoverAt = h, e.cfg.Clock.Now()
	}
}

// ReceivedHandover returns the handover that the held lease directly follows; ok is false if there is none and the holder
// has to wait. A handover that arrived more than one lease duration before the acquisition started does not count, because
// voters that restarted since then may have forgotten an intermediate holder.
func (e *Elector) ReceivedHandover() (h Handover, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, held := e.candidate.Held(e.cfg.Clock.Now()); !held || e.handover.Token == 0 {
		return Handover{}, false
	}
	limit := time.Duration(float64(e.cfg.Duration) * (1 - e.cfg.Drift))
	recent := e.candidate.acquireStart.Sub(e.handoverAt) < limit
	return e.handover, recent && e.candidate.PreviousToken() == e.handover.Token
}
