package replica

import (
	"context"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Queues and time limits of sending.
const (
	outboxQueueSize  = 64
	shortSendTimeout = 300 * time.Millisecond // silent connections in both directions are given up before a leader must stop
	bulkSendTimeout  = 5 * time.Second        // 512 KB on a slow path between regions
)

// A queueKey is a queue to a VM; entries and snapshots have their own, so that heartbeats never wait for them.
type queueKey struct {
	vm   deck.VMName
	bulk bool
}

// send queues the message; it is dropped when the queue is full, because the core repeats what is lost.
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

// reportSendFailure tells the core of a lost batch, unless the node is too busy to hear of it.
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
