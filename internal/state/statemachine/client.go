package statemachine

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/command"
)

// Timeouts, delays and limits of proposals.
const (
	beginTimeout   = 3 * time.Second // a begin-call that takes longer fails, which bounds the caller's wait
	attemptTimeout = 2 * time.Second // of one attempt at one replica; a commit takes one round trip between regions
	retryDelay     = 100 * time.Millisecond

	// hedgeDelay is how long a replica may take to respond before the request is also sent to the next one: several times
	// the duration of a commit between regions.
	hedgeDelay = 400 * time.Millisecond

	releaseRetryDelay = time.Second // between attempts to release a claim
	maxQueuedReleases = 4096        // beyond that the oldest is dropped and its record is left to time out
)

// A Forwarder sends requests to control replicas on other VMs.
type Forwarder interface {
	// Forward proposes an encoded command through a replica and returns its encoded result. After an error other than a
	// NotLeaderError or a NotProposedError the command may still be committed.
	Forward(ctx context.Context, to deck.Peer, data []byte) ([]byte, error)

	// TicketStatus queries a replica for the status of a ticket.
	TicketStatus(ctx context.Context, to deck.Peer, number uint64) (TicketStatus, error)
}

// A TicketStatus is the answer to a ticket and the progress of its distribution to the VMs.
type TicketStatus struct {
	Answer    deck.TicketAnswer
	Confirmed []deck.VMName // have the ticket in force
	Waiting   []deck.VMName // reachable, but not yet confirmed
	CutOff    []deck.VMName // have not polled in time
}

// A ClientConfig configures a Client.
type ClientConfig struct {
	Self            deck.VMName
	Local           *Proposer // nil on a VM without a replica
	ControlReplicas []deck.Peer
	Forwarder       Forwarder
	Clock           deck.Clock
	IsRefused       func(digest string) bool // checks the distributed list of poison requests; nil refuses none
	NewID           func() string            // returns a unique random ID; nil means UUIDs
}

// A Client proposes typed commands from any VM. Every command is idempotent, so that it can be proposed again after an
// unclear failure: a ticket is identified by its digest, a call by its claim ID, a crash report by its boot or report ID.
type Client struct {
	cfg ClientConfig

	mu           sync.Mutex
	leader       deck.VMName
	claims       map[string]string // claim IDs of this VM's calls in progress, by key
	releaseQueue []release
	wake         chan struct{}
	done         chan struct{}
}

// A release is the pending release of a claim that is not in use although its begin-call may be committed.
type release struct {
	key, claim string
	deadline   time.Time
}

var (
	_ deck.IdempotencyStore = (*Client)(nil)
	_ deck.PoisonStore      = (*Client)(nil)
)

// NewClient returns a client. Claims whose begin-call or release failed are released only while Run is running.
func NewClient(cfg ClientConfig) *Client {
	if cfg.NewID == nil {
		cfg.NewID = uuid.NewString
	}
	return &Client{
		cfg: cfg, claims: make(map[string]string), wake: make(chan struct{}, 1), done: make(chan struct{}),
	}
}

// SubmitTicket proposes a ticket and returns the answer to it. After an error the ticket may or may not have been accepted;
// submitting it again returns its answer.
func (c *Client) SubmitTicket(ctx context.Context, t deck.Ticket) (deck.TicketAnswer, error) {
	r, err := c.propose(ctx, command.ApplyTicket{Ticket: t})
	return r.Ticket, err
}

// Begin implements deck.IdempotencyStore.Begin.
func (c *Client) Begin(ctx context.Context, key, digest string) deck.Claim {
	claim := c.cfg.NewID()
	ctx, cancel := context.WithTimeout(ctx, beginTimeout)
	defer cancel()
	r, err := c.propose(ctx, command.BeginCall{Key: key, Digest: digest, VM: c.cfg.Self, ClaimID: claim})
	if err != nil {
		var notProposed *NotProposedError
		if !errors.As(err, &notProposed) {
			c.queueRelease(key, claim)
		}
		return deck.Claim{}
	}
	if r.Claim.Status == deck.ClaimGranted {
		c.mu.Lock()
		c.claims[key] = claim
		c.mu.Unlock()
	}
	return r.Claim
}

// Finish implements deck.IdempotencyStore.Finish. If the body exceeds MaxRecordedBodyBytes, the outcome is recorded as
// unknown.
func (c *Client) Finish(ctx context.Context, key string, answer deck.ServiceAnswer) error {
	c.mu.Lock()
	claim, ok := c.claims[key]
	delete(c.claims, key)
	c.mu.Unlock()
	if !ok {
		return errors.Newf("key %q is not claimed by this VM", key)
	}
	if len(answer.Body) > MaxRecordedBodyBytes {
		answer = deck.ServiceAnswer{Reason: "the answer is larger than what is recorded"}
	}
	r, err := c.propose(ctx, command.FinishCall{Key: key, ClaimID: claim, Answer: answer})
	if err != nil {
		if answer.Outcome == deck.OutcomeNotRun {
			c.queueRelease(key, claim)
		}
		return err
	}
	if !r.Recorded {
		return errors.New(r.Reason)
	}
	return nil
}

// IsRefused implements deck.PoisonStore.IsRefused.
func (c *Client) IsRefused(digest string) bool {
	return c.cfg.IsRefused != nil && c.cfg.IsRefused(digest)
}

// IsPartRefused implements deck.PoisonStore.IsPartRefused.
func (c *Client) IsPartRefused(part uint64) bool {
	return c.IsRefused(partDigest(part))
}

// ReportCrash implements deck.PoisonStore.ReportCrash.
func (c *Client) ReportCrash(ctx context.Context, r deck.CrashReport) error {
	_, err := c.propose(ctx, command.ReportCrash{
		Digest: r.Digest, Backend: r.Backend, BootID: r.BootID, ReportID: c.cfg.NewID(), OnlySuspect: r.Alone, Parts: r.Parts,
	})
	return err
}

// ReportSound implements deck.PoisonStore.ReportSound.
func (c *Client) ReportSound(ctx context.Context, part uint64) error {
	_, err := c.propose(ctx, command.ReportSound{Part: part})
	return err
}

// Done returns a channel that is closed when Run returns.
func (c *Client) Done() <-chan struct{} {
	return c.done
}

// Run releases claims whose begin-call or release failed, until the context ends. It retries each release until it is
// committed or ClaimTimeout has passed.
func (c *Client) Run(ctx context.Context) error {
	defer close(c.done)
	for {
		r, ok := c.nextRelease()
		if !ok {
			select {
			case <-ctx.Done():
				return nil
			case <-c.wake:
			}
			continue
		}
		if !c.tryRelease(ctx, r) && !deck.Sleep(ctx, releaseRetryDelay) {
			return nil
		}
	}
}

// tryRelease proposes a release once and reports whether it was committed; otherwise it queues the release again until its
// deadline.
func (c *Client) tryRelease(ctx context.Context, r release) bool {
	attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	answer := deck.ServiceAnswer{Outcome: deck.OutcomeNotRun}
	_, err := c.propose(attempt, command.FinishCall{Key: r.key, ClaimID: r.claim, Answer: answer})
	if err != nil && c.cfg.Clock.Now().Before(r.deadline) {
		c.mu.Lock()
		c.releaseQueue = append(c.releaseQueue, r)
		c.mu.Unlock()
	}
	return err == nil
}

func (c *Client) queueRelease(key, claim string) {
	c.mu.Lock()
	c.releaseQueue = append(c.releaseQueue, release{key, claim, c.cfg.Clock.Now().Add(ClaimTimeout)})
	if len(c.releaseQueue) > maxQueuedReleases {
		c.releaseQueue = c.releaseQueue[1:]
	}
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *Client) nextRelease() (release, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.releaseQueue) == 0 {
		return release{}, false
	}
	r := c.releaseQueue[0]
	c.releaseQueue = c.releaseQueue[1:]
	return r, true
}
