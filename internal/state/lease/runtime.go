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

// Times of the runtime.
const (
	renewInterval = time.Second
	requestTimeout    = 500 * time.Millisecond // below a third of the lease, so that two renewals may fail
	raiseDelay    = 50 * time.Millisecond  // gathers the answers of a round before the token is raised
	candidatePollInterval = 100 * time.Millisecond // between two looks whether the lease is free
	delayPerRank     = 150 * time.Millisecond // for each candidate that stands before this VM
	maxRankDelay  = 2 * time.Second
)

// A Config holds what a runtime needs.
type Config struct {
	Self      deck.Peer
	Peers     []deck.Peer
	Votes     *Votes
	Transport Transport
	Clock     deck.Clock
	Duration  time.Duration // 0 means Duration
	Drift     float64       // 0 means DriftBound
}

// A Runtime stands as candidate for the placement lease of its data centre and renews it while it holds it.
type Runtime struct {
	cfg    Config
	voters []deck.Peer
	done   chan struct{}
	tokenRaised chan struct{} // holds a value after a voter or an engine has shown a higher token

	mu       sync.Mutex
	holder   *Holder
	handover   Handover
	handoverAt time.Time
	nextAttemptAt    time.Time // no candidacy before
	voteTaken     bool      // this VM's vote was not free when it was last looked at
	skew     time.Duration
}

var _ deck.LeaseSource = (*Runtime)(nil)

// NewRuntime returns a runtime; Run does its work.
func NewRuntime(cfg Config) *Runtime {
	if cfg.Duration == 0 {
		cfg.Duration = Duration
	}
	if cfg.Drift == 0 {
		cfg.Drift = DefaultDriftBound
	}
	r := &Runtime{cfg: cfg, voters: SelectVoters(cfg.Self.DataCentre, cfg.Peers), done: make(chan struct{}), tokenRaised: make(chan struct{}, 1)}
	var names []deck.VMName
	for _, p := range r.voters {
		names = append(names, p.Name)
	}
	r.holder = NewHolder(cfg.Self.DataCentre, cfg.Self.Name, uuid.NewString(), names, cfg.Duration, cfg.Drift)
	return r
}

// Held implements deck.LeaseSource.Held.
func (r *Runtime) Held() (deck.PlacementLease, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holder.Held(r.cfg.Clock.Now())
}

// RaiseTo makes the holder take a fencing token above the given one, which an engine has reported.
func (r *Runtime) RaiseTo(seen uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holder.RaiseTokenAbove(seen)
	r.signalRaise()
}

// Skew returns the largest difference between this VM's wall clock and that of a voter.
func (r *Runtime) Skew() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.skew
}

// Done returns a channel that is closed when Run has ended.
func (r *Runtime) Done() <-chan struct{} {
	return r.done
}

// Run stands as candidate and renews until the context ends; then it releases the lease.
func (r *Runtime) Run(ctx context.Context) error {
	defer close(r.done)
	var g errgroup.Group
	for ctx.Err() == nil {
		_, held := r.Held()
		switch {
		case held:
			r.renew(ctx, &g)
			r.awaitRenewal(ctx)
		case r.mayAcquire():
			r.tryAcquire(ctx, &g)
		default:
			deck.Sleep(ctx, candidatePollInterval)
		}
	}
	if _, held := r.Held(); held {
		r.release(context.WithoutCancel(ctx), &g, "")
	}
	return g.Wait()
}

// mayAcquire reports whether this VM's vote is free and the candidates before this VM have had their turn.
func (r *Runtime) mayAcquire() bool {
	now := r.cfg.Clock.Now()
	free := r.cfg.Votes.GrantDelay(r.cfg.Self.DataCentre, r.cfg.Self.Name)
	r.mu.Lock()
	defer r.mu.Unlock()
	if free > 0 {
		r.voteTaken = true
		return false
	}
	if r.voteTaken {
		r.voteTaken = false
		r.delayAttempt(now.Add(r.rankDelay()))
	}
	return !now.Before(r.nextAttemptAt)
}

// rankDelay returns how long the candidates before this VM are given.
func (r *Runtime) rankDelay() time.Duration {
	place := rank(r.cfg.Self.DataCentre, r.cfg.Self.Name, r.cfg.Peers)
	return min(time.Duration(place)*delayPerRank, maxRankDelay)
}

// delayAttempt delays the next candidacy; a later time that was set before is kept.
func (r *Runtime) delayAttempt(t time.Time) {
	if t.After(r.nextAttemptAt) {
		r.nextAttemptAt = t
	}
}

// tryAcquire tries to acquire the lease. A candidate that does not win frees the votes that it got and lets others try.
func (r *Runtime) tryAcquire(ctx context.Context, g *errgroup.Group) {
	r.mu.Lock()
	request := r.holder.Acquire(r.cfg.Clock.Now())
	r.mu.Unlock()
	if r.broadcast(ctx, g, request) && r.renew(ctx, g) {
		return
	}
	r.release(ctx, g, "")
	r.mu.Lock()
	r.delayAttempt(r.cfg.Clock.Now().Add(requestTimeout + r.rankDelay()))
	r.mu.Unlock()
}

func (r *Runtime) renew(ctx context.Context, g *errgroup.Group) bool {
	r.mu.Lock()
	request, ok := r.holder.Confirm(r.cfg.Clock.Now())
	r.mu.Unlock()
	return ok && r.broadcast(ctx, g, request)
}

func (r *Runtime) release(ctx context.Context, g *errgroup.Group, successor deck.VMName) {
	r.mu.Lock()
	request := r.holder.Release(r.cfg.Clock.Now(), successor)
	r.mu.Unlock()
	r.broadcast(ctx, g, request)
}

// broadcast sends a request to all voters and returns once a majority has granted it or can no longer do so.
func (r *Runtime) broadcast(ctx context.Context, g *errgroup.Group, request Request) bool {
	request.Wall = r.cfg.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	answered := make(chan struct{}, len(r.voters))
	var all errgroup.Group
	for _, p := range r.voters {
		all.Go(func() error {
			r.sendRequest(ctx, p, request)
			answered <- struct{}{}
			return nil
		})
	}
	g.Go(func() error {
		defer cancel()
		return all.Wait()
	})
	for range r.voters {
		<-answered
		r.mu.Lock()
		decided, won := r.holder.Decided()
		r.mu.Unlock()
		if decided {
			return won
		}
	}
	return false
}

func (r *Runtime) sendRequest(ctx context.Context, p deck.Peer, request Request) {
	var a Response
	var err error
	if p.Name == r.cfg.Self.Name {
		a = r.cfg.Votes.Handle(request)
	} else {
		a, err = r.cfg.Transport.Ask(ctx, p, request)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.holder.HandleResponse(p.Name, request, Response{})
		return
	}
	r.skew = max(r.skew, a.Wall.Sub(request.Wall).Abs()-r.cfg.Clock.Now().Sub(request.Wall))
	r.holder.HandleResponse(p.Name, request, a)
	r.signalRaise()
}

// signalRaise wakes the renewal if the next confirmation has a higher token than the last one; the caller holds the lock.
func (r *Runtime) signalRaise() {
	if !r.holder.TokenRaised() {
		return
	}
	select {
	case r.tokenRaised <- struct{}{}:
	default:
	}
}

// awaitRenewal waits until the lease is to be renewed. A voter that refuses because it has seen a higher token is asked
// again soon. Until the next regular renewal its vote would stay free, its VM would stand as candidate and raise the
// token further, and the holder would change its token each second.
func (r *Runtime) awaitRenewal(ctx context.Context) {
	t := time.NewTimer(renewInterval)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-r.tokenRaised:
		deck.Sleep(ctx, raiseDelay)
	}
}

// HandOver ends the lease and passes it on with the ledger. The caller has stopped sending operations.
func (r *Runtime) HandOver(ctx context.Context, to deck.Peer, ledger []byte) error {
	l, held := r.Held()
	if !held {
		return errors.New("the lease is not held")
	}
	var g errgroup.Group
	r.mu.Lock()
	request := r.holder.Release(r.cfg.Clock.Now(), to.Name)
	r.delayAttempt(r.cfg.Clock.Now().Add(r.cfg.Duration))
	r.mu.Unlock()
	h := Handover{DataCentre: l.DataCentre, From: l.Holder, Token: l.FencingToken, Ledger: ledger}
	err := r.cfg.Transport.HandOver(ctx, to, h)
	if err != nil {
		request.Successor = ""
	}
	r.broadcast(ctx, &g, request)
	_ = g.Wait()
	return errors.Wrap(err, "the successor did not get the ledger")
}

// Receive takes a handover from the holder.
func (r *Runtime) Receive(h Handover) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if h.DataCentre == r.cfg.Self.DataCentre && h.Token > r.handover.Token {
		r.handover, r.handoverAt = h, r.cfg.Clock.Now()
	}
}

// ReceivedHandover returns the handover that the held lease directly follows; ok is false if the holder has to wait. A handover
// that is older than one lease duration at the acquisition does not count, because voters that restarted since may have
// forgotten a holder in between.
func (r *Runtime) ReceivedHandover() (h Handover, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, held := r.holder.Held(r.cfg.Clock.Now()); !held || r.handover.Token == 0 {
		return Handover{}, false
	}
	limit := time.Duration(float64(r.cfg.Duration) * (1 - r.cfg.Drift))
	inTime := r.holder.acquireStart.Sub(r.handoverAt) < limit
	return r.handover, inTime && r.holder.PreviousToken() == r.handover.Token
}
