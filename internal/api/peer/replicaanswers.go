package peer

import (
	"context"
	"sync"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// answerTimeout is how long the HTTP response to a message waits for the replica's answer. A later answer is sent as a
// separate message.
const answerTimeout = 20 * time.Millisecond

// ReplicaAnswers sends answers to messages in the HTTP responses to those messages, which halves the number of requests
// between replicas. The handler and the client of a replica share it. The zero value is ready to use.
type ReplicaAnswers struct {
	mu      sync.Mutex
	waiters map[deck.VMName][]chan deck.ReplicaMessage
}

// deliver passes an answer to the oldest HTTP response to its destination that waits for one, and reports whether there was
// one.
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

// addWaiter registers an HTTP response to the VM as waiting for an answer, and returns the channel for that answer.
func (a *ReplicaAnswers) addWaiter(vm deck.VMName) chan deck.ReplicaMessage {
	waiter := make(chan deck.ReplicaMessage, 1)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.setWaiters(vm, append(a.waiters[vm], waiter))
	return waiter
}

// wait returns the answer and removes the waiter; ok is false if no answer arrives in time.
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
	case m = <-waiter: // was delivered just before the waiter was removed
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

// setWaiters replaces a VM's queue of waiters. The caller holds the lock.
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
