package replica

import (
	"context"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Queues and time limits of sending.
const (
	outboxQueue  = 64
	shortTimeout = 300 * time.Millisecond // silent connections in both directions are given up before a leader must stop
	bulkTimeout  = 5 * time.Second        // 512 KB on a slow path between regions
)

// A lane is a queue to a VM; entries and snapshots have their own, so that heartbeats never wait for them.
type lane struct {
	vm   deck.VMName
	bulk bool
}

// send queues the message; it is dropped when the queue is full, because the core repeats what is lost.
func (n *Node) send(m deck.ReplicaMessage) {
	l := lane{vm: m.To.VM, bulk: m.Kind == deck.MessageAppend || m.Kind == deck.MessageSnapshot}
	queue, ok := n.outbox[l]
	if !ok {
		queue = make(chan deck.ReplicaMessage, outboxQueue)
		n.outbox[l] = queue
		n.group.Go(func() error {
			n.deliver(l, queue)
			return nil
		})
	}
	select {
	case queue <- m:
	default:
		n.counters.lost.Add(1)
	}
}

// reportLost tells the core of a lost batch, unless the node is too busy to hear of it.
func (n *Node) reportLost(l lane, id deck.ReplicaID) {
	n.counters.lost.Add(1)
	if !l.bulk {
		return
	}
	select {
	case n.inputs <- func(time.Time) { n.core.Lost(id) }:
	default:
	}
}

// deliver sends the queue's messages one after another until the node stops.
func (n *Node) deliver(l lane, queue <-chan deck.ReplicaMessage) {
	timeout := shortTimeout
	if l.bulk {
		timeout = bulkTimeout
	}
	for {
		select {
		case <-n.ctx.Done():
			return
		case m := <-queue:
			ctx, cancel := context.WithTimeout(n.ctx, timeout)
			err := n.opts.Transport.Send(ctx, m)
			cancel()
			n.counters.sent.Add(1)
			if err != nil {
				n.reportLost(l, m.To)
			}
		}
	}
}
