package replica

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A pendingProposal is a caller that waits until the entry that it proposed is applied.
type pendingProposal struct {
	term   uint64
	result chan applyResult // buffered for one result
}

type applyResult struct {
	value []byte
	err   error
}

// Run participates in the log until ctx ends; a leader first transfers its leadership.
//
// After an error of the storage or the state machine's snapshots, the node no longer participates and shows the error in
// its status; Run returns the error when ctx ends. While the disk is full it participates in nothing, and goes on once it has room.
func (n *Node) Run(ctx context.Context) error {
	defer close(n.done)
	senderCtx, stopSenders := context.WithCancel(context.WithoutCancel(ctx))
	n.group, n.ctx = errgroup.WithContext(senderCtx)
	n.loop(ctx)
	stopSenders()
	err := n.group.Wait()
	return errors.CombineErrors(n.failure, err)
}

func (n *Node) loop(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	ctxDone := ctx.Done()
	var deadline time.Time
	for {
		select {
		case <-ctxDone:
			ctxDone = nil
			deadline = n.transferLeadership()
		case f := <-n.inputs:
			f(n.opts.Clock.Now())
			n.drainInputs()
		case <-ticker.C:
			n.tick()
		}
		n.processEffects()
		if ctxDone == nil && n.canStop(deadline) {
			return
		}
	}
}

func (n *Node) tick() {
	if n.unsaved != nil {
		n.resume()
	}
	if n.unavailable() == nil {
		n.core.Tick(n.opts.Clock.Now())
	}
}

// suspend keeps effects until the disk has room for their changes. Entries that were proposed may still be committed then.
func (n *Node) suspend(e Effects, err error) {
	if n.unsaved == nil {
		n.opts.Log.Info("the disk is full; the replica takes no part in the replicated log until it has room", "reason", err.Error())
	}
	n.unsaved = &e
	n.publishStatus()
}

// resume tries to save the changes that wait for room on the disk.
func (n *Node) resume() {
	e := *n.unsaved
	n.performEffects(e)
	if n.unsaved == nil && n.failure == nil {
		n.opts.Log.Info("the disk has room again; the replica takes part in the replicated log")
	}
}

// drainInputs handles up to maxInputBatch further inputs that are queued, so that they share one sync.
func (n *Node) drainInputs() {
	for range maxInputBatch {
		select {
		case f := <-n.inputs:
			f(n.opts.Clock.Now())
		default:
			return
		}
	}
}

// transferLeadership starts a leadership transfer and returns the time at which the node stops at the latest.
func (n *Node) transferLeadership() time.Time {
	now := n.opts.Clock.Now()
	if n.unavailable() != nil {
		return now
	}
	if _, ok := n.core.TransferLeadership(now); !ok {
		return now
	}
	return now.Add(leadTransferTimeout)
}

func (n *Node) canStop(deadline time.Time) bool {
	return n.unavailable() != nil || n.core.state != leader || !n.opts.Clock.Now().Before(deadline)
}

// processEffects carries out the core's effects until none are left.
func (n *Node) processEffects() {
	for n.unavailable() == nil {
		e := n.core.TakeEffects()
		if e.IsEmpty() {
			break
		}
		n.performEffects(e)
	}
	if n.unavailable() == nil && n.core.state != leader {
		n.failProposals(deck.ErrLeadershipLost)
	}
	n.publishStatus()
}

func (n *Node) performEffects(e Effects) {
	if !e.Save.IsEmpty() {
		err := n.opts.Storage.Save(e.Save)
		if errors.Is(err, deck.ErrDiskFull) {
			n.suspend(e, err)
			return
		}
		n.unsaved = nil
		if err != nil {
			n.fail(errors.Wrap(err, "save replicated log"))
			return
		}
		n.counters.saves.Add(1)
		n.counters.savedEntries.Add(uint64(len(e.Save.Entries)))
	}
	n.core.MarkSaved(e)
	for _, m := range e.Send {
		n.send(m)
	}
	if e.Restore != nil {
		if err := n.opts.Machine.Restore(e.Restore.Data); err != nil {
			n.fail(errors.Wrapf(err, "restore snapshot %d", e.Restore.Index))
			return
		}
	}
	n.apply(e.Apply)
	n.resolveBarriers(e.Barriers)
	if e.Snapshot {
		n.compact()
	}
}

func (n *Node) apply(entries []deck.LogEntry) {
	for _, e := range entries {
		var value []byte
		if e.Kind == deck.EntryCommand {
			value = n.opts.Machine.Apply(e.Index, e.Command)
		}
		w, ok := n.proposals[e.Index]
		if !ok {
			continue
		}
		delete(n.proposals, e.Index)
		if w.term == e.Term {
			w.result <- applyResult{value: value}
		} else {
			w.result <- applyResult{err: deck.ErrLeadershipLost}
		}
	}
}

func (n *Node) resolveBarriers(results []BarrierResult) {
	for _, r := range results {
		result, ok := n.pendingBarriers[r.ID]
		if !ok {
			continue
		}
		delete(n.pendingBarriers, r.ID)
		if r.Err != nil {
			result <- r.Err
		} else {
			n.confirmedBarriers[result] = r.Index
		}
	}
	for result, index := range n.confirmedBarriers {
		if index <= n.core.log.applied {
			delete(n.confirmedBarriers, result)
			result <- nil
		}
	}
}

func (n *Node) compact() {
	data, err := n.opts.Machine.Snapshot()
	if err != nil {
		n.fail(errors.Wrap(err, "take snapshot"))
		return
	}
	n.core.Compact(data)
	n.counters.snapshots.Add(1)
}

// fail permanently ends this node's participation in the log.
func (n *Node) fail(err error) {
	n.failure = err
	n.opts.Log.Error(err, "replica stopped participating in the replicated log")
	n.publishStatus() // before callers get the error, so that they find it in the status
	n.failProposals(err)
	for id, result := range n.pendingBarriers {
		delete(n.pendingBarriers, id)
		result <- err
	}
	for result := range n.confirmedBarriers {
		delete(n.confirmedBarriers, result)
		result <- err
	}
}

func (n *Node) failProposals(err error) {
	for index, w := range n.proposals {
		delete(n.proposals, index)
		w.result <- applyResult{err: err}
	}
}

// publishStatus stores the status for readers and logs a change of leader.
func (n *Node) publishStatus() {
	s := n.core.Status()
	if n.failure != nil {
		s.FailureReason = n.failure.Error()
	}
	if n.unavailable() != nil {
		s.Leader = deck.ReplicaID{}
	}
	old := n.status.Swap(&s)
	at := n.core.now
	n.publishedAt.Store(&at)
	if old != nil && old.Leader != s.Leader {
		n.counters.leaderChanges.Add(1)
		n.opts.Log.Info("leader of the replicated log changed", "leader", s.Leader.String(), "term", s.Term)
	}
}
