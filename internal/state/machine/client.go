package machine

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/command"
)

// Times of proposals.
const (
	beginTimeout   = 3 * time.Second // a begin-call that takes longer is refused, so that a caller is not kept waiting
	attemptTimeout = 2 * time.Second // for one attempt at one replica; a commit takes one path time between regions
	retryDelay     = 100 * time.Millisecond

	// hedgeDelay is how long a replica may be silent before the next one is asked as well: several times what a commit
	// between regions takes.
	hedgeDelay = 400 * time.Millisecond

	releaseRetryDelay = time.Second // between proposals of the release of a claim
	maxQueuedReleases = 4096        // releases that are waiting; beyond that the oldest record is left to time out
)

// A Forwarder sends a command to a replica on another VM.
type Forwarder interface {
	// Forward returns the result, a NotLeaderError, a NotProposedError, or an error after which it may be committed.
	Forward(ctx context.Context, to deck.Peer, data []byte) ([]byte, error)

	// TicketStatus asks a replica what became of a ticket.
	TicketStatus(ctx context.Context, to deck.Peer, number uint64) (TicketStatus, error)
}

// A TicketStatus is what became of a ticket and which VMs have it in force.
type TicketStatus struct {
	Answer    deck.TicketAnswer
	Confirmed []deck.VMName
	Waiting   []deck.VMName // reachable, but they have not yet confirmed
	CutOff    []deck.VMName // no poll arrived from them in time
}

// A ClientConfig holds what a client needs.
type ClientConfig struct {
	Self    deck.VMName
	Local   *Proposer   // nil on a VM without a replica
	Control []deck.Peer // control replicas
	Forward Forwarder
	Clock   deck.Clock
	Refused func(digest string) bool // reads the distributed poison requests; nil refuses none
	NewID   func() string            // random IDs; nil means UUIDs
}

// A Client proposes typed commands from any VM. Every command carries what makes it safe to propose again: a ticket its
// digest, a call its claim ID, a crash report its boot or report ID.
type Client struct {
	cfg ClientConfig

	mu           sync.Mutex
	leader       deck.VMName
	claims       map[string]string // key → claim ID of the calls of this VM in progress
	releaseQueue []release
	wake         chan struct{}
	done         chan struct{}
}

// A release is a claim that is not used and whose begin-call may still be committed.
type release struct {
	key, claim string
	deadline   time.Time
}

var (
	_ deck.IdempotencyStore = (*Client)(nil)
	_ deck.PoisonStore      = (*Client)(nil)
)

// NewClient returns a client; Run must be running for timed-out claims to be released.
func NewClient(cfg ClientConfig) *Client {
	if cfg.NewID == nil {
		cfg.NewID = uuid.NewString
	}
	return &Client{
		cfg: cfg, claims: make(map[string]string), wake: make(chan struct{}, 1), done: make(chan struct{}),
	}
}

// SubmitTicket returns the system's answer to a ticket; after an error the ticket may or may not be accepted, and
// sending it again gives its answer.
func (c *Client) SubmitTicket(ctx context.Context, t deck.Ticket) (deck.TicketAnswer, error) {
	r, err := c.propose(ctx, command.ApplyTicket{Ticket: t})
	return r.Ticket, err
}

// Begin implements deck.IdempotencyStore.Begin.
func (c *Client) Begin(ctx context.Context, key, digest string) deck.Claim {
	claim := c.cfg.NewID()
	ctx, cancel := context.WithTimeout(ctx, beginTimeout)
	defer cancel()
	r, err := c.propose(ctx, command.BeginCall{Key: key, Digest: digest, VM: c.cfg.Self, Claim: claim})
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

// Finish implements deck.IdempotencyStore.Finish. An answer that is too large to record makes the record unknown.
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
	r, err := c.propose(ctx, command.FinishCall{Key: key, Claim: claim, Answer: answer})
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

// Refused implements deck.PoisonStore.Refused.
func (c *Client) Refused(digest string) bool {
	return c.cfg.Refused != nil && c.cfg.Refused(digest)
}

// ReportCrash implements deck.PoisonStore.ReportCrash.
func (c *Client) ReportCrash(
	ctx context.Context, digest string, backend deck.BackendName, bootID string, alone bool,
) error {
	_, err := c.propose(ctx, command.ReportCrash{
		Digest: digest, Backend: backend, BootID: bootID, Report: c.cfg.NewID(), Alone: alone,
	})
	return err
}

// Done returns a channel that is closed when Run has ended.
func (c *Client) Done() <-chan struct{} {
	return c.done
}

// Run proposes the release of claims that timed out, each until it is committed or ClaimTimeout is over.
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

// tryRelease proposes a release once and queues it again if it was not committed.
func (c *Client) tryRelease(ctx context.Context, r release) bool {
	attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	answer := deck.ServiceAnswer{Outcome: deck.OutcomeNotRun}
	_, err := c.propose(attempt, command.FinishCall{Key: r.key, Claim: r.claim, Answer: answer})
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
