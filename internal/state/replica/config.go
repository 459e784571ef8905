package replica

import (
	"math/rand/v2"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Timeouts, intervals and size limits of the replicated log.
const (
	// HeartbeatInterval fits three times into LeadershipTimeout. With shorter intervals, heartbeats exceed the 8 KB/s of control
	// traffic that a VM may use.
	HeartbeatInterval = 350 * time.Millisecond

	ElectionTimeoutMin = 1200 * time.Millisecond // exceeds LeadershipTimeout by more than the 1% clock drift
	ElectionTimeoutMax = 2400 * time.Millisecond
	LeadershipTimeout  = 1100 * time.Millisecond // a leader that no majority answers for this long steps down

	// A candidate without a majority retries after a random time within these bounds. They leave room for two rounds of votes
	// on paths with a latency of a few dozen ms. Retries after a full election timeout would make the longest failover 4.6 s.
	CampaignRetryMin = 300 * time.Millisecond
	CampaignRetryMax = 900 * time.Millisecond

	MaxCommandBytes       = 256 << 10 // of an encoded command; equal to command.MaxBytes
	SnapshotEntries       = 1024
	SnapshotBytes         = 4 << 20
	maxBatchBytes         = 512 << 10 // commands in one append message, unless a single command is larger
	ChunkBytes            = 256 << 10
	maxUncommittedEntries = 4096
	resendInterval        = 4 * HeartbeatInterval // shorter intervals resend batches that are still in flight on a slow path
	entryOverheadBytes    = 64                    // index, term and framing of an entry; for size limits only
	maxSnapshotBytes      = 1 << 30
	maxRemoteBarriers     = 1024
	remoteBarrierTimeout  = LeadershipTimeout
	leadTransferTimeout   = ElectionTimeoutMin
)

// A Config configures a Core.
type Config struct {
	Deployment string
	Founders   []deck.VMName // VMs whose replicas bootstrap the log if all of them are empty
	Rand       rand.Source   // source of the random timeouts; nil for one seeded with the incarnation
	Stored     deck.StoredLog

	SnapshotEntries int // applied entries between snapshots; 0 for the constant SnapshotEntries
	SnapshotBytes   int // bytes of applied entries between snapshots; 0 for the constant SnapshotBytes
	ChunkBytes      int // snapshot bytes in one message; 0 for the constant ChunkBytes, which is also the maximum
}

func (c Config) withDefaults() Config {
	if c.Rand == nil {
		c.Rand = rand.NewPCG(c.Stored.ID.Incarnation, 0)
	}
	if c.SnapshotEntries == 0 {
		c.SnapshotEntries = SnapshotEntries
	}
	if c.SnapshotBytes == 0 {
		c.SnapshotBytes = SnapshotBytes
	}
	if c.ChunkBytes <= 0 || c.ChunkBytes > ChunkBytes {
		c.ChunkBytes = ChunkBytes
	}
	return c
}
