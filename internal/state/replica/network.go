package replica

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A MemoryNetwork connects the replicas within one process; its zero value has no replicas.
type MemoryNetwork struct {
	mu        sync.Mutex
	fault     func(m deck.ReplicaMessage) []deck.ReplicaMessage
	receivers map[deck.VMName]deck.ReplicaReceiver
}

var _ deck.ReplicaTransport = (*MemoryNetwork)(nil)

// Attach makes the receiver reachable at the VM in place of an earlier one; nil makes the VM unreachable.
func (n *MemoryNetwork) Attach(vm deck.VMName, r deck.ReplicaReceiver) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.receivers == nil {
		n.receivers = make(map[deck.VMName]deck.ReplicaReceiver)
	}
	n.receivers[vm] = r
}

// SetFault sets the function that returns the messages to deliver in place of a sent one: none, the same or several. A
// nil function removes it.
func (n *MemoryNetwork) SetFault(fault func(m deck.ReplicaMessage) []deck.ReplicaMessage) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fault = fault
}

// Send implements deck.ReplicaTransport.Send.
func (n *MemoryNetwork) Send(ctx context.Context, m deck.ReplicaMessage) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	n.mu.Lock()
	fault := n.fault
	n.mu.Unlock()
	delivered := []deck.ReplicaMessage{m}
	if fault != nil {
		delivered = fault(m)
	}
	if len(delivered) == 0 {
		return errors.Newf("message to VM %s was dropped by the fault function", m.To.VM)
	}
	for _, a := range delivered {
		if err := n.deliver(ctx, a); err != nil {
			return err
		}
	}
	return nil
}

func (n *MemoryNetwork) deliver(ctx context.Context, m deck.ReplicaMessage) error {
	n.mu.Lock()
	r := n.receivers[m.To.VM]
	n.mu.Unlock()
	if r == nil {
		return errors.Newf("no replica at VM %s", m.To.VM)
	}
	return r.Receive(ctx, m)
}
