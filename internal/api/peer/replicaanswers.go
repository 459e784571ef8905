package peer

import (
	"context"
	"sync"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// answerTimeout is how long a message's HTTP response waits for the replica's answer. An answer that comes later is sent as
// a message of its own.
const answerTimeout = 20 * time.Millisecond

// ReplicaAnswers let the answer to a message travel in its HTTP response, which halves the requests between replicas. The
// zero value works; it is shared by the handler and the client of one replica.
type ReplicaAnswers struct {
	mu      sync.Mutex
	waiters map[deck.VMName][]chan deck.ReplicaMessage
}

// deliver hands an answer to a response that waits for one, and reports whether there was one.
func (a *ReplicaAnswers) deliver(m deck.ReplicaMessage) bool {
	if a == nil || !m.Kind.IsAnswer() {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	queue := a.waiters[m.To.VM]
	if len(queue) == 0 {
		return false
	}
	queue[0] <- m
	a.setWaiters(m.To.VM, queue[1:])
	return true
}

// addWaiter announces a response to the VM that waits for an answer.
func (a *ReplicaAnswers) addWaiter(vm deck.VMName) chan deck.ReplicaMessage {
	waiter := make(chan deck.ReplicaMessage, 1)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.setWaiters(vm, append(a.waiters[vm], waiter))
	return waiter
}

// wait returns the answer; ok is false if none came in time.
func (a *ReplicaAnswers) wait(
	ctx context.Context, vm deck.VMName, waiter chan deck.ReplicaMessage,
) (m deck.ReplicaMessage, ok bool) {
	t := time.NewTimer(answerTimeout)
	defer t.Stop()
	select {
	case m = <-waiter:
		return m, true
	case <-t.C:
	case <-ctx.Done():
	}
	a.removeWaiter(vm, waiter)
	select {
	case m = <-waiter: // it was handed over just before the withdrawal
		return m, true
	default:
		return m, false
	}
}

func (a *ReplicaAnswers) removeWaiter(vm deck.VMName, waiter chan deck.ReplicaMessage) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var remaining []chan deck.ReplicaMessage
	for _, w := range a.waiters[vm] {
		if w != waiter {
			remaining = append(remaining, w)
		}
	}
	a.setWaiters(vm, remaining)
}

// setWaiters replaces a VM's queue; the caller holds the lock.
func (a *ReplicaAnswers) setWaiters(vm deck.VMName, queue []chan deck.ReplicaMessage) {
	if len(queue) == 0 {
		delete(a.waiters, vm)
		return
	}
	if a.waiters == nil {
		a.waiters = make(map[deck.VMName][]chan deck.ReplicaMessage)
	}
	a.waiters[vm] = queue
}
