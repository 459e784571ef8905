package replica

import (
	"context"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Size and timeouts of the send queues.
const (
	outboxQueueSize = 64

	// shortSendTimeout is so short that if the connections of a heartbeat and of its answer both hang, both sends time out
	// within LeadershipTimeout and later messages get through.
	shortSendTimeout = 300 * time.Millisecond

	bulkSendTimeout = 5 * time.Second // enough for 512 KB on a slow path between regions
)

// A queueKey identifies a send queue to a VM. Entries and snapshots have a queue of their own, so that heartbeats never
// wait for them.
type queueKey struct {
	vm   deck.VMName
	bulk bool
}

// send queues the message; it drops it if the queue is full, because the core resends what is lost.
func (n *Node) send(m deck.ReplicaMessage) {
	key := queueKey{vm: m.To.VM, bulk: m.Kind == deck.MessageAppend || m.Kind == deck.MessageSnapshot}
	queue, ok := n.outbox[key]
	if !ok {
		queue = make(chan deck.ReplicaMessage, outboxQueueSize)
		n.outbox[key] = queue
		n.group.Go(func() error {
			n.deliver(key, queue)
			return nil
		})
	}
	select {
	case queue <- m:
	default:
		n.counters.lostMessages.Add(1)
	}
}

// reportSendFailure counts a lost message; it reports a lost batch or chunk to the core unless the input queue is full.
func (n *Node) reportSendFailure(key queueKey, id deck.ReplicaID) {
	n.counters.lostMessages.Add(1)
	if !key.bulk {
		return
	}
	select {
	case n.inputs <- func(time.Time) { n.core.ReportSendFailure(id) }:
	default:
	}
}

// deliver sends the queue's messages one after another until the node stops.
func (n *Node) deliver(key queueKey, queue <-chan deck.ReplicaMessage) {
	timeout := shortSendTimeout
	if key.bulk {
		timeout = bulkSendTimeout
	}
	for {
		select {
		case <-n.ctx.Done():
			return
		case m := <-queue:
			ctx, cancel := context.WithTimeout(n.ctx, timeout)
			err := n.opts.Transport.Send(ctx, m)
			cancel()
			n.counters.sentMessages.Add(1)
			if err != nil {
				n.reportSendFailure(key, m.To)
			}
		}
	}
}
