package peer

import (
	"context"
	"sync"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// answerWait is how long a message's HTTP response waits for the replica's answer. An answer that comes later is sent as
// a message of its own.
const answerWait = 20 * time.Millisecond

// ReplicaAnswers let the answer to a message travel in its HTTP response, which halves the requests between replicas. The
// zero value works; it is shared by the handler and the client of one replica.
type ReplicaAnswers struct {
	mu      sync.Mutex
	waiting map[deck.VMName][]chan deck.ReplicaMessage
}

// offer hands an answer to a response that waits for one, and reports whether there was one.
func (a *ReplicaAnswers) offer(m deck.ReplicaMessage) bool {
	if a == nil || !m.Kind.IsAnswer() {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	queue := a.waiting[m.To.VM]
	if len(queue) == 0 {
		return false
	}
	queue[0] <- m
	a.set(m.To.VM, queue[1:])
	return true
}

// expect announces a response to the VM that waits for an answer.
func (a *ReplicaAnswers) expect(vm deck.VMName) chan deck.ReplicaMessage {
	c := make(chan deck.ReplicaMessage, 1)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.set(vm, append(a.waiting[vm], c))
	return c
}

// wait returns the answer; ok is false if none came in time.
func (a *ReplicaAnswers) wait(ctx context.Context, vm deck.VMName, c chan deck.ReplicaMessage) (m deck.ReplicaMessage, ok bool) {
	t := time.NewTimer(answerWait)
	defer t.Stop()
	select {
	case m = <-c:
		return m, true
	case <-t.C:
	case <-ctx.Done():
	}
	a.withdraw(vm, c)
	select {
	case m = <-c: // it was handed over just before the withdrawal
		return m, true
	default:
		return m, false
	}
}

func (a *ReplicaAnswers) withdraw(vm deck.VMName, c chan deck.ReplicaMessage) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var rest []chan deck.ReplicaMessage
	for _, q := range a.waiting[vm] {
		if q != c {
			rest = append(rest, q)
		}
	}
	a.set(vm, rest)
}

// set replaces a VM's queue; the caller holds the lock.
func (a *ReplicaAnswers) set(vm deck.VMName, queue []chan deck.ReplicaMessage) {
	if len(queue) == 0 {
		delete(a.waiting, vm)
		return
	}
	if a.waiting == nil {
		a.waiting = make(map[deck.VMName][]chan deck.ReplicaMessage)
	}
	a.waiting[vm] = queue
}
