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
	renewInterval         = time.Second
	requestTimeout        = 500 * time.Millisecond // below a third of the lease, so that two renewals in a row may fail
	raiseDelay            = 50 * time.Millisecond  // lets the other responses of a round arrive before the token is raised
	candidatePollInterval = 100 * time.Millisecond // between two checks of whether the lease is free
	delayPerRank          = 150 * time.Millisecond // for each candidate that precedes this VM
	maxRankDelay          = 2 * time.Second
)

// A Config configures a Runtime.
type Config struct {
	Self      deck.Peer
	Peers     []deck.Peer
	Voters    *LocalVoters
	Transport Transport
	Clock     deck.Clock
	Duration  time.Duration // 0 means the constant Duration
	Drift     float64       // relative rate by which two monotonic clocks may differ; 0 means DefaultDriftBound
}

// A Elector acquires the placement lease of its data centre when the lease is free, and renews it while this VM holds it.
type Elector struct {
	cfg         Config
	voters      []deck.Peer
	done        chan struct{}
	tokenRaised chan struct{} // has a value after a voter or an engine reported a higher token

	mu            sync.Mutex
	holder        *Holder
	handover      Handover  // last one that was received
	handoverAt    time.Time // when it was received
	nextAttemptAt time.Time // earliest time of the next acquisition
	voteTaken     bool      // this VM's voter could not grant its vote at the last check
	skew          time.Duration
}

var _ deck.LeaseSource = (*Elector)(nil)

// NewElector returns a runtime that is ready to run.
func NewElector(cfg Config) *Elector {
	if cfg.Duration == 0 {
		cfg.Duration = DefaultDuration
	}
	if cfg.Drift == 0 {
		cfg.Drift = DefaultDriftBound
	}
	r := &Elector{
		cfg: cfg, voters: SelectVoters(cfg.Self.DataCentre, cfg.Peers),
		done: make(chan struct{}), tokenRaised: make(chan struct{}, 1),
	}
	var names []deck.VMName
	for _, p := range r.voters {
		names = append(names, p.Name)
	}
	r.holder = NewHolder(cfg.Self.DataCentre, cfg.Self.Name, uuid.NewString(), names, cfg.Duration, cfg.Drift)
	return r
}

// Held implements deck.LeaseSource.Held.
func (r *Elector) Held() (deck.PlacementLease, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holder.Held(r.cfg.Clock.Now())
}

// RaiseTokenAbove makes the next renewal use a fencing token above the given one, which an engine has reported.
func (r *Elector) RaiseTokenAbove(seen uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holder.RaiseTokenAbove(seen)
	r.signalRaise()
}

// Skew returns the largest difference seen so far between this VM's wall clock and that of a voter.
func (r *Elector) Skew() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.skew
}

// Done returns a channel that is closed when Run has returned.
func (r *Elector) Done() <-chan struct{} {
	return r.done
}

// Run acquires and renews the lease until ctx ends, and then releases it.
func (r *Elector) Run(ctx context.Context) error {
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

// mayAcquire reports whether this VM's own vote is free and the delay for candidates of a lower rank has passed.
func (r *Elector) mayAcquire() bool {
	now := r.cfg.Clock.Now()
	delay := r.cfg.Voters.GrantDelay(r.cfg.Self.DataCentre, r.cfg.Self.Name)
	r.mu.Lock()
	defer r.mu.Unlock()
	if delay > 0 {
		r.voteTaken = true
		return false
	}
	if r.voteTaken {
		r.voteTaken = false
		r.delayAttempt(now.Add(r.rankDelay()))
	}
	return !now.Before(r.nextAttemptAt)
}

// rankDelay returns how long this VM waits so that the candidates of a lower rank can acquire the lease first.
func (r *Elector) rankDelay() time.Duration {
	preceding := rank(r.cfg.Self.DataCentre, r.cfg.Self.Name, r.cfg.Peers)
	return min(time.Duration(preceding)*delayPerRank, maxRankDelay)
}

// delayAttempt sets the earliest time of the next acquisition; a later time that was set before stays.
func (r *Elector) delayAttempt(t time.Time) {
	if t.After(r.nextAttemptAt) {
		r.nextAttemptAt = t
	}
}

// tryAcquire tries to acquire the lease. A candidate that does not get a majority releases its votes and backs off, so
// that others can try.
func (r *Elector) tryAcquire(ctx context.Context, g *errgroup.Group) {
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

// renew confirms the chosen token or renews the lease, and reports whether a majority granted it.
func (r *Elector) renew(ctx context.Context, g *errgroup.Group) bool {
	r.mu.Lock()
	request, ok := r.holder.Confirm(r.cfg.Clock.Now())
	r.mu.Unlock()
	return ok && r.broadcast(ctx, g, request)
}

func (r *Elector) release(ctx context.Context, g *errgroup.Group, successor deck.VMName) {
	r.mu.Lock()
	request := r.holder.Release(r.cfg.Clock.Now(), successor)
	r.mu.Unlock()
	r.broadcast(ctx, g, request)
}

// broadcast sends a request to all voters and returns as soon as a majority has granted it, or no majority can any more;
// it reports whether a majority did.
func (r *Elector) broadcast(ctx context.Context, g *errgroup.Group, request Request) bool {
	request.Wall = r.cfg.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	responded := make(chan struct{}, len(r.voters))
	var requests errgroup.Group
	for _, p := range r.voters {
		requests.Go(func() error {
			r.sendRequest(ctx, p, request)
			responded <- struct{}{}
			return nil
		})
	}
	g.Go(func() error {
		defer cancel()
		return requests.Wait()
	})
	for range r.voters {
		<-responded
		r.mu.Lock()
		decided, won := r.holder.Decided()
		r.mu.Unlock()
		if decided {
			return won
		}
	}
	return false
}

// sendRequest sends a request to one voter and processes its response; an error counts as a refusal.
func (r *Elector) sendRequest(ctx context.Context, p deck.Peer, request Request) {
	var resp Response
	var err error
	if p.Name == r.cfg.Self.Name {
		resp = r.cfg.Voters.Handle(request)
	} else {
		resp, err = r.cfg.Transport.SendRequest(ctx, p, request)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.holder.HandleResponse(p.Name, request, Response{})
		return
	}
	r.skew = max(r.skew, resp.Wall.Sub(request.Wall).Abs()-r.cfg.Clock.Now().Sub(request.Wall))
	r.holder.HandleResponse(p.Name, request, resp)
	r.signalRaise()
}

// signalRaise wakes awaitRenewal if the next confirmation has a higher token than the last one. The caller holds r.mu.
func (r *Elector) signalRaise() {
	if !r.holder.TokenRaised() {
		return
	}
	select {
	case r.tokenRaised <- struct{}{}:
	default:
	}
}

// awaitRenewal waits until the next renewal is due. It returns early after a voter refused because it knows a higher
// token: that voter's vote would stay free until the next regular renewal, its VM would try to acquire the lease and raise
// the token further, and the holder would change its token every second.
func (r *Elector) awaitRenewal(ctx context.Context) {
	t := time.NewTimer(renewInterval)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-r.tokenRaised:
		deck.Sleep(ctx, raiseDelay)
	}
}

// HandOver ends the lease and transfers it with the ledger to the given VM. The caller must have stopped sending
// operations. If the successor cannot be reached, the lease is released without a successor and an error is returned.
func (r *Elector) HandOver(ctx context.Context, to deck.Peer, ledger []byte) error {
	l, held := r.Held()
	if !held {
		return errors.New("hand over placement lease: this VM does not hold it")
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
	return errors.Wrap(err, "hand over placement lease to the successor")
}

// ReceiveHandover stores a handover from the previous holder; handovers of another data centre or with a token that is not above
// the stored one's are ignored.
func (r *Elector) ReceiveHandover(h Handover) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if h.DataCentre == r.cfg.Self.DataCentre && h.Token > r.handover.Token {
		r.handover, r.handoverAt = h, r.cfg.Clock.Now()
	}
}

// ReceivedHandover returns the handover that the held lease directly follows; ok is false if there is none and the holder
// has to wait. A handover that arrived more than one lease duration before the acquisition started does not count, because
// voters that restarted since then may have forgotten an intermediate holder.
func (r *Elector) ReceivedHandover() (h Handover, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, held := r.holder.Held(r.cfg.Clock.Now()); !held || r.handover.Token == 0 {
		return Handover{}, false
	}
	limit := time.Duration(float64(r.cfg.Duration) * (1 - r.cfg.Drift))
	recent := r.holder.acquireStart.Sub(r.handoverAt) < limit
	return r.handover, recent && r.holder.PreviousToken() == r.handover.Token
}
