package replica

import (
	"math/rand/v2"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Timing and sizes of the replicated log.
const (
	HeartbeatInterval  = 350 * time.Millisecond  // three fit into LeadershipTimeout; shorter ones exceed 8 KB/s
	ElectionTimeoutMin = 1200 * time.Millisecond // longer than LeadershipTimeout by more than the 1% clock drift
	ElectionTimeoutMax = 2400 * time.Millisecond
	LeadershipTimeout  = 1100 * time.Millisecond

	// A candidate without a majority tries again after a time drawn from these bounds. They leave room for two rounds
	// on paths of a few dozen ms; waiting for a whole election timeout again made the longest failovers 4.6 s.
	CampaignRetryMin = 300 * time.Millisecond
	CampaignRetryMax = 900 * time.Millisecond

	MaxCommandBytes       = 256 << 10 // proposals are below 128 KB; the rest is room for the codec
	SnapshotEntries       = 1024
	SnapshotBytes         = 4 << 20
	maxBatchBytes         = 512 << 10 // commands in one append message, unless one command is larger
	ChunkBytes            = 256 << 10
	maxUncommittedEntries = 4096                  // entries
	resendInterval        = 4 * HeartbeatInterval // shorter ones repeat batches that a slow path still carries
	entryOverheadBytes    = 64                    // index, term and framing, for batch sizes only
	maxSnapshotBytes      = 1 << 30
	maxRemoteBarriers     = 1024
	remoteBarrierTimeout  = LeadershipTimeout
	leadTransferTimeout   = ElectionTimeoutMin
)

// A Config is what a core must know about its replica.
type Config struct {
	Deployment string
	Founders   []deck.VMName // VMs whose replicas form the log when all of them are empty
	Rand       rand.Source   // draws election timeouts; nil for a source with a fixed seed
	Stored     deck.StoredLog

	SnapshotEntries int // entries between snapshots; 0 for SnapshotEntries
	SnapshotBytes   int // bytes of commands between snapshots; 0 for SnapshotBytes
	ChunkBytes      int // bytes of a snapshot in one message; 0 for ChunkBytes, which is also the limit
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
