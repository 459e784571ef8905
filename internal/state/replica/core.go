package replica

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

type role int

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// A Core is the consensus state machine of one replica, without goroutines, clock or I/O; it is not safe for concurrent use.
type Core struct {
	cfg    Config
	random *rand.Rand
	self   deck.ReplicaID
	now    time.Time

	state       role
	leaderID    deck.ReplicaID
	ballot      deck.Ballot
	log         entryLog
	memberships []indexedMembership // each with the index of the entry that set it, oldest first; never empty

	lastLeaderContact time.Time // latest message of a current leader; votes are refused for ElectionTimeoutMin after it
	electionDeadline  time.Time
	campaignStartedAt time.Time
	votes             map[deck.ReplicaID]bool

	peers            map[deck.ReplicaID]*progress // leader only
	lastHeartbeat    time.Time
	round            uint64
	roundStarts      map[uint64]time.Time
	transferTarget   deck.ReplicaID
	transferDeadline time.Time

	barriers       []barrier // pending at the leader
	remoteBarriers map[uint64]time.Time
	incoming       *incomingSnapshot
	bootstrap      bootstrap

	outgoing          []deck.ReplicaMessage
	snapshotToRestore *deck.LogSnapshot
	barrierResults    []BarrierResult
	unsavedSnapshot   *deck.LogSnapshot
	ballotChanged     bool
}

// New returns a core that continues from the stored log.
func New(cfg Config, now time.Time) *Core {
	cfg = cfg.withDefaults()
	c := &Core{
		cfg:               cfg,
		random:            rand.New(cfg.Rand),
		self:              cfg.Stored.ID,
		now:               now,
		ballot:            cfg.Stored.Ballot,
		log:               newEntryLog(cfg.Stored),
		lastLeaderContact: now, // a leader may still rely on a response that this replica sent before its restart
		remoteBarriers:    make(map[uint64]time.Time),
	}
	c.loadMemberships()
	if c.log.snapshot.Index > 0 {
		s := c.log.snapshot
		c.snapshotToRestore = &s
	}
	c.resetElectionTimer()
	return c
}

// Tick advances the time and handles the timeouts that are due.
func (c *Core) Tick(now time.Time) {
	c.advanceTime(now)
	c.expireRemoteBarriers()
	if c.tickBootstrap() {
		return
	}
	if c.state == leader {
		c.tickLeader()
		return
	}
	if !now.Before(c.electionDeadline) {
		c.startPreVote()
	}
}

// Step handles a message from another replica.
func (c *Core) Step(now time.Time, m deck.ReplicaMessage) {
	c.advanceTime(now)
	if m.Deployment != c.cfg.Deployment || m.From == c.self {
		return
	}
	if m.Kind == deck.MessageHello && m.To == (deck.ReplicaID{VM: c.self.VM}) {
		c.handleHello(m)
		return
	}
	// A message to an earlier incarnation is dropped, because that incarnation's disk is lost.
	if m.To != c.self || c.fromStaleCoordinator(m) {
		return
	}
	c.dispatch(m)
}

func (c *Core) dispatch(m deck.ReplicaMessage) {
	switch m.Kind {
	case deck.MessageHelloAnswer:
		c.handleHelloAnswer(m)
		return
	case deck.MessagePreVote:
		c.handlePreVote(m)
		return
	case deck.MessagePreVoteAnswer:
		c.handlePreVoteAnswer(m)
		return
	case deck.MessageVote:
		c.handleVote(m)
		return
	}
	if m.Term > c.ballot.Term {
		c.becomeFollower(m.Term, deck.ReplicaID{})
	}
	if m.Term < c.ballot.Term {
		c.rejectStaleTerm(m)
		return
	}
	c.dispatchCurrentTerm(m)
}

func (c *Core) dispatchCurrentTerm(m deck.ReplicaMessage) {
	switch m.Kind {
	case deck.MessageVoteAnswer:
		c.handleVoteAnswer(m)
	case deck.MessageHeartbeat:
		c.handleHeartbeat(m)
	case deck.MessageAppend:
		c.handleAppend(m)
	case deck.MessageSnapshot:
		c.handleSnapshotChunk(m)
	case deck.MessageBarrier:
		c.handleBarrier(m)
	case deck.MessageBarrierAnswer:
		c.handleBarrierAnswer(m)
	case deck.MessageTransfer:
		c.handleTransfer(m)
	case deck.MessageHeartbeatAnswer, deck.MessageAppendAnswer, deck.MessageSnapshotAnswer:
		c.handleFollowerAnswer(m)
	}
}

// rejectStaleTerm sends the current term to a former leader, so that it steps down.
func (c *Core) rejectStaleTerm(m deck.ReplicaMessage) {
	switch m.Kind {
	case deck.MessageHeartbeat, deck.MessageAppend, deck.MessageSnapshot:
		c.send(deck.ReplicaMessage{Kind: deck.MessageAppendAnswer, To: m.From, Reject: true})
	}
}

// advanceTime sets the time. It runs before any other handling, so that a leader steps down first if its majority has not
// answered within LeadershipTimeout.
func (c *Core) advanceTime(now time.Time) {
	if now.After(c.now) {
		c.now = now
	}
	if c.state == leader && c.now.Sub(c.majorityContact()) >= LeadershipTimeout {
		c.becomeFollower(c.ballot.Term, deck.ReplicaID{})
	}
}

func (c *Core) becomeFollower(term uint64, leaderID deck.ReplicaID) {
	if term > c.ballot.Term {
		c.ballot = deck.Ballot{Term: term}
		c.ballotChanged = true
	}
	wasLeader := c.state == leader
	c.state = follower
	c.leaderID = leaderID
	if wasLeader {
		c.clearLeaderState()
	}
	c.resetElectionTimer()
}

// acceptLeader follows the sender as the leader of the current term.
func (c *Core) acceptLeader(m deck.ReplicaMessage) {
	if c.state != follower || c.leaderID != m.From {
		c.becomeFollower(m.Term, m.From)
	}
	c.lastLeaderContact = c.now
	c.resetElectionTimer()
}

func (c *Core) resetElectionTimer() {
	c.electionDeadline = c.now.Add(c.randomDuration(ElectionTimeoutMin, ElectionTimeoutMax))
}

// scheduleCampaignRetry sets a campaign timeout shorter than an election timeout, because no leader is known to be alive.
func (c *Core) scheduleCampaignRetry() {
	c.electionDeadline = c.now.Add(c.randomDuration(CampaignRetryMin, CampaignRetryMax))
}

func (c *Core) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(c.random.Int64N(int64(high-low)+1))
}

// send queues a message; it sets the current term unless the message has one.
func (c *Core) send(m deck.ReplicaMessage) {
	m.Deployment = c.cfg.Deployment
	m.From = c.self
	if m.Term == 0 {
		m.Term = c.ballot.Term
	}
	c.outgoing = append(c.outgoing, m)
}

// Status returns the replica's view of the log.
func (c *Core) Status() deck.LogStatus {
	m := c.membership()
	contact := c.lastLeaderContact
	if c.state == leader {
		contact = c.now
	}
	return deck.LogStatus{
		LastLeaderContact: contact,
		Self:              c.self,
		Leader:            c.leaderID,
		Term:              c.ballot.Term,
		CommitIndex:       c.log.commit,
		AppliedIndex:      c.log.applied,
		Voters:            slices.Clone(m.Voters),
		Learners:          slices.Clone(m.Learners),
	}
}
