package feed

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Intervals, timeouts and limits of polling.
const (
	defaultPollWait        = time.Second            // with a longer wait, the proof of a relay would become too old
	controlPollWait        = 700 * time.Millisecond // on a control replica, whose proof relays pass on up to a second later
	pollTimeoutMargin      = 500 * time.Millisecond // for the network delay, beyond the time for which the source holds the poll
	retryBackoff           = 500 * time.Millisecond // after all sources have failed
	leaderCheckInterval    = 250 * time.Millisecond // between checks whether this VM still leads the log
	failbackInterval       = 30 * time.Second       // between attempts to return to a preferred source
	localPollInterval      = 3 * time.Second        // between polls of all VMs of the data centre before the first proof
	localPollConcurrency   = 8                      // polls in flight in pollLocalVMs
	confirmationBatchDelay = 100 * time.Millisecond // batches the confirmations of many VMs in one poll
)

// A ClientConfig configures a Client or a Publisher.
type ClientConfig struct {
	Self      deck.Peer
	Peers     []deck.Peer
	Store     *Store
	Transport Transport
	Clock     deck.Clock
	Leader    func() deck.VMName // returns the control leader; nil on a VM without a control replica
}

// A Client keeps a store up to date by polling one source at a time.
type Client struct {
	cfg           ClientConfig
	done          chan struct{}
	lastLocalPoll time.Time // zero before the first
	currentSource atomic.Pointer[deck.Peer]
	listPayloads  atomic.Bool // the last response asked for a list of the payloads
}

// NewClient returns a client, which polls while Run is running.
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
		c.forwardConfirmations(ctx)
		return nil
	})
	g.Go(func() error {
		c.pollLoop(ctx)
		return nil
	})
	return g.Wait()
}

// forwardConfirmations polls the source without waiting when VMs that poll through this one confirm a higher version.
// With the long polls alone, a confirmation would wait for a poll of each VM on its way to the leader, 2 to 4 s in all.
func (c *Client) forwardConfirmations(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.cfg.Store.confirmationAdvanced:
		}
		if !deck.Sleep(ctx, confirmationBatchDelay) {
			return
		}
		if p := c.currentSource.Load(); p != nil && !c.isLeader() {
			c.poll(ctx, *p, 0)
		}
	}
}

// pollLoop keeps the store up to date until the context ends.
func (c *Client) pollLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if c.isLeader() {
			deck.Sleep(ctx, leaderCheckInterval)
			continue
		}
		if c.pollSources(ctx) {
			continue
		}
		c.pollLocalVMs(ctx)
		deck.Sleep(ctx, retryBackoff)
	}
}

// pollSources tries the sources in order, polls each healthy one until it fails, and reports whether any was healthy.
func (c *Client) pollSources(ctx context.Context) bool {
	found := false
	sources := c.sources()
	for i := 0; i < len(sources) && ctx.Err() == nil && !c.isLeader(); i++ {
		if !c.poll(ctx, sources[i], 0) {
			continue
		}
		found = true
		if c.pollWhileHealthy(ctx, sources, i) {
			return true
		}
	}
	return found
}

// pollWhileHealthy polls a source until it fails. It returns true as soon as the sources must be tried from the first again:
// a preferred source is healthy again or the leader has changed.
func (c *Client) pollWhileHealthy(ctx context.Context, sources []deck.Peer, i int) bool {
	lastFailback := c.cfg.Clock.Now()
	c.currentSource.Store(&sources[i])
	for c.poll(ctx, sources[i], c.pollWait()) {
		if c.isLeader() || c.leaderChanged(sources) {
			return true
		}
		if c.cfg.Clock.Now().Sub(lastFailback) < failbackInterval {
			continue
		}
		lastFailback = c.cfg.Clock.Now()
		for _, p := range sources[:i] {
			if c.poll(ctx, p, 0) {
				return true
			}
		}
	}
	return false
}

func (c *Client) pollWait() time.Duration {
	if c.cfg.Leader != nil {
		return controlPollWait
	}
	return defaultPollWait
}

func (c *Client) sources() []deck.Peer {
	return Sources(c.cfg.Self, c.cfg.Peers, c.leader())
}

func (c *Client) leader() deck.VMName {
	if c.cfg.Leader == nil {
		return ""
	}
	return c.cfg.Leader()
}

func (c *Client) isLeader() bool {
	return c.cfg.Leader != nil && c.leader() == c.cfg.Self.Name
}

// leaderChanged reports whether a control replica must change its source because there is a new leader.
func (c *Client) leaderChanged(sources []deck.Peer) bool {
	leader := c.leader()
	return leader != "" && sources[0].Name != leader
}

// poll polls a source once, installs the response, and reports whether the source's proof is recent enough.
func (c *Client) poll(ctx context.Context, source deck.Peer, wait time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, wait+pollTimeoutMargin)
	defer cancel()
	start := c.cfg.Clock.Now()
	resp, err := c.cfg.Transport.Poll(ctx, source, c.request(wait))
	if err != nil {
		return false
	}
	c.listPayloads.Store(resp.PayloadsDiffer)
	c.cfg.Store.ApplyResponse(start, resp)
	return resp.Proven && resp.ProofAge <= MaxProofAge
}

// request returns a poll request. It lists the payloads only if the last response reported that their digests differ.
func (c *Client) request(wait time.Duration) Request {
	r := Request{
		VM: c.cfg.Self.Name, DataCentre: c.cfg.Self.DataCentre, After: c.cfg.Store.State().Version(), Wait: wait,
		Confirmed: c.cfg.Store.Confirmations(),
	}
	if c.listPayloads.Load() {
		r.Payloads = c.cfg.Store.payloadVersions()
		return r
	}
	r.Digest = c.cfg.Store.payloadDigest(c.cfg.Self.DataCentre)
	return r
}

// ApplyResponse installs what is new in the response to a poll that was sent at the given time by this VM's clock.
func (s *Store) ApplyResponse(sent time.Time, resp Response) {
	if resp.State != nil {
		s.Install(*resp.State)
	}
	// Deltas that do not follow the state in force are dropped; the next poll asks for those that do.
	_ = s.Append(resp.Deltas)
	for _, p := range resp.Payloads {
		s.Publish(p)
	}
	if resp.Proven && resp.ProofAge >= 0 && resp.HoldTime >= 0 {
		s.RecordProof(proofTime(sent, resp), resp.Version)
	}
}

// proofTime returns the time of the source's proof by this VM's clock, or an earlier time. The source responded at least HoldTime
// after the poll was sent; both of its durations may be off by maxClockDrift.
func proofTime(sent time.Time, resp Response) time.Time {
	holdTime := time.Duration(float64(resp.HoldTime) * (1 - maxClockDrift))
	age := time.Duration(float64(resp.ProofAge) * (1 + maxClockDrift))
	return sent.Add(holdTime - age)
}

// pollLocalVMs polls all VMs of the data centre until this process has its first proof, so that the highest version among the
// reachable ones is installed. It is called when no source is healthy.
func (c *Client) pollLocalVMs(ctx context.Context) {
	now := c.cfg.Clock.Now()
	if c.cfg.Store.Proven() || !c.lastLocalPoll.IsZero() && now.Sub(c.lastLocalPoll) < localPollInterval {
		return
	}
	c.lastLocalPoll = now
	var g errgroup.Group
	g.SetLimit(localPollConcurrency)
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
