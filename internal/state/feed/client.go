package feed

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Times of polling.
const (
	pollWait     = time.Second            // a longer wait would let the proof of a relay become too old
	controlWait  = 700 * time.Millisecond // of a control replica, whose proof the relays pass on a second later
	pollGrace    = 500 * time.Millisecond // for the path, beyond the time for which the source holds the poll
	roundPause   = 500 * time.Millisecond // after all sources have failed
	leaderPause  = 250 * time.Millisecond // between two looks whether this VM still leads the log
	retryFirst   = 30 * time.Second       // between two tries to get back to a source earlier in the order
	surveyPause  = 3 * time.Second        // between two surveys of the data centre while the state is unproven
	surveyAtOnce = 8                      // polls of a survey in flight
	passOnPause  = 100 * time.Millisecond // gathers the confirmations of many VMs in one poll
)

// A ClientConfig holds what a client needs.
type ClientConfig struct {
	Self      deck.Peer
	Peers     []deck.Peer
	Store     *Store
	Transport Transport
	Clock     deck.Clock
	Leader    func() deck.VMName // the control leader, on a VM that holds a replica; nil elsewhere
}

// A Client keeps a store up to date by polling one source at a time.
type Client struct {
	cfg      ClientConfig
	done     chan struct{}
	surveyed time.Time // of the last survey; zero before the first
	source   atomic.Pointer[deck.Peer]
	differ   atomic.Bool // the last answer asked for a list of the payloads
}

// NewClient returns a client; Run does its work.
func NewClient(cfg ClientConfig) *Client {
	return &Client{cfg: cfg, done: make(chan struct{})}
}

// Done returns a channel that is closed when Run has ended.
func (c *Client) Done() <-chan struct{} {
	return c.done
}

// Run polls until the context ends.
func (c *Client) Run(ctx context.Context) error {
	defer close(c.done)
	var g errgroup.Group
	g.Go(func() error {
		c.passOn(ctx)
		return nil
	})
	g.Go(func() error {
		c.follow(ctx)
		return nil
	})
	return g.Wait()
}

// passOn tells the source at once when VMs behind this one have confirmed a version. With the next long poll alone a
// confirmation would wait for one poll at each level, 2 to 4 s in all.
func (c *Client) passOn(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.cfg.Store.raised:
		}
		if !deck.Sleep(ctx, passOnPause) {
			return
		}
		if p := c.source.Load(); p != nil && !c.leads() {
			c.poll(ctx, *p, 0)
		}
	}
}

// follow keeps the store up to date.
func (c *Client) follow(ctx context.Context) {
	for ctx.Err() == nil {
		if c.leads() {
			deck.Sleep(ctx, leaderPause)
			continue
		}
		if c.round(ctx) {
			continue
		}
		c.survey(ctx)
		deck.Sleep(ctx, roundPause)
	}
}

// round tries the sources in order, stays with each good one until it fails, and reports whether there was any.
func (c *Client) round(ctx context.Context) bool {
	found := false
	order := c.order()
	for i := 0; i < len(order) && ctx.Err() == nil && !c.leads(); i++ {
		if !c.poll(ctx, order[i], 0) {
			continue
		}
		found = true
		if c.stay(ctx, order, i) {
			return true
		}
	}
	return found
}

// stay polls a source until it fails, and returns true once a source earlier in the order is good again.
func (c *Client) stay(ctx context.Context, order []deck.Peer, i int) bool {
	since := c.cfg.Clock.Now()
	c.source.Store(&order[i])
	for c.poll(ctx, order[i], c.wait()) {
		if c.leads() || c.leaderMoved(order) {
			return true
		}
		if c.cfg.Clock.Now().Sub(since) < retryFirst {
			continue
		}
		since = c.cfg.Clock.Now()
		for _, p := range order[:i] {
			if c.poll(ctx, p, 0) {
				return true
			}
		}
	}
	return false
}

func (c *Client) wait() time.Duration {
	if c.cfg.Leader != nil {
		return controlWait
	}
	return pollWait
}

func (c *Client) order() []deck.Peer {
	return Sources(c.cfg.Self, c.cfg.Peers, c.leader())
}

func (c *Client) leader() deck.VMName {
	if c.cfg.Leader == nil {
		return ""
	}
	return c.cfg.Leader()
}

func (c *Client) leads() bool {
	return c.cfg.Leader != nil && c.leader() == c.cfg.Self.Name
}

// leaderMoved reports whether a control replica should poll another VM because the leader has changed.
func (c *Client) leaderMoved(order []deck.Peer) bool {
	leader := c.leader()
	return leader != "" && order[0].Name != leader
}

// poll asks a source once, takes what it has, and reports whether its state is proven to be fresh.
func (c *Client) poll(ctx context.Context, source deck.Peer, wait time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, wait+pollGrace)
	defer cancel()
	start := c.cfg.Clock.Now()
	a, err := c.cfg.Transport.Poll(ctx, source, c.request(wait))
	if err != nil {
		return false
	}
	c.differ.Store(a.Differ)
	c.cfg.Store.Take(start, a)
	return a.Proven && a.ProofAge <= ProofLimit
}

// request returns a poll; it lists the payloads only after the last answer said that their digest differs.
func (c *Client) request(wait time.Duration) Request {
	r := Request{
		VM: c.cfg.Self.Name, DataCentre: c.cfg.Self.DataCentre, After: c.cfg.Store.State().Version(), Wait: wait,
		Confirmed: c.cfg.Store.Confirmations(),
	}
	if c.differ.Load() {
		r.Payloads = c.cfg.Store.payloadVersions()
		return r
	}
	r.Digest = c.cfg.Store.payloadDigest(c.cfg.Self.DataCentre)
	return r
}

// Take installs what is new in an answer to a poll that was sent at the given time by this VM's clock.
func (s *Store) Take(sent time.Time, a Answer) {
	if a.State != nil {
		s.Install(*a.State)
	}
	// Deltas that do not follow are of no use; the next poll asks for those after the state in force.
	_ = s.Append(a.Deltas)
	for _, p := range a.Payloads {
		s.Publish(p)
	}
	if a.Proven && a.ProofAge >= 0 && a.Held >= 0 {
		s.Prove(proofTime(sent, a), a.Version)
	}
}

// proofTime returns the time of the source's proof by this VM's clock, or a time before it. The source answered at
// least Held after the poll was sent; both of its durations may be off by the drift bound.
func proofTime(sent time.Time, a Answer) time.Time {
	held := time.Duration(float64(a.Held) * (1 - driftShare))
	age := time.Duration(float64(a.ProofAge) * (1 + driftShare))
	return sent.Add(held - age)
}

// survey takes the highest version among the reachable VMs of the data centre while no source can prove its own.
func (c *Client) survey(ctx context.Context) {
	now := c.cfg.Clock.Now()
	if c.cfg.Store.Proven() || !c.surveyed.IsZero() && now.Sub(c.surveyed) < surveyPause {
		return
	}
	c.surveyed = now
	var g errgroup.Group
	g.SetLimit(surveyAtOnce)
	for _, p := range c.cfg.Peers {
		if p.DataCentre != c.cfg.Self.DataCentre || p.Name == c.cfg.Self.Name {
			continue
		}
		g.Go(func() error {
			c.poll(ctx, p, 0)
			return nil
		})
	}
	_ = g.Wait()
}
