package machine

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A round asks the control replicas until one gives an answer.
type round[T any] struct {
	client  *Client
	do      func(context.Context, deck.Peer) (T, error)
	ctx     context.Context
	group   errgroup.Group
	answers chan replicaAnswer[T]
	asked   []deck.VMName // without an answer yet
	left    []deck.Peer
	err     error // of a replica that may have done its work, if there is one
}

// A replicaAnswer is what one replica answered.
type replicaAnswer[T any] struct {
	from  deck.VMName
	value T
	err   error
}

// askReplicas asks the presumed leader first, and the next replica when one fails or is silent; an earlier one may still
// answer. The error is that of a replica that may have done its work, if there is one.
func askReplicas[T any](
	ctx context.Context, c *Client, do func(context.Context, deck.Peer) (T, error),
) (value T, from deck.VMName, err error) {
	ctx, cancel := context.WithCancel(ctx)
	r := &round[T]{
		client: c, do: do, ctx: ctx, answers: make(chan replicaAnswer[T]), left: c.candidates(),
		err: &NotProposedError{Cause: errors.New("no control replica answers")},
	}
	a, ok := r.run()
	cancel()
	for len(r.asked) > 0 {
		r.take(<-r.answers)
	}
	_ = r.group.Wait() // the functions return no errors
	if ok {
		return a.value, a.from, nil
	}
	return value, "", r.err
}

// run returns the first answer; ok is false if there is none before the context ends.
func (r *round[T]) run() (a replicaAnswer[T], ok bool) {
	silent := time.NewTicker(silentAfter)
	defer silent.Stop()
	for r.ctx.Err() == nil && (r.ask() || len(r.asked) > 0) {
		silent.Reset(silentAfter)
		select {
		case a := <-r.answers:
			r.take(a)
			if a.err == nil {
				return a, true
			}
			r.follow(a.err)
		case <-silent.C:
			r.refill()
		case <-r.ctx.Done():
		}
	}
	return a, false
}

// take notes that a replica has answered.
func (r *round[T]) take(a replicaAnswer[T]) {
	r.asked = slices.DeleteFunc(r.asked, func(vm deck.VMName) bool { return vm == a.from })
	if a.err != nil && certainlyNot(r.err) {
		r.err = a.err
	}
}

// ask asks the next replica, if there is one.
func (r *round[T]) ask() bool {
	if len(r.left) == 0 {
		return false
	}
	p := r.left[0]
	r.left = r.left[1:]
	r.asked = append(r.asked, p.Name)
	r.group.Go(func() error {
		value, err := r.do(r.ctx, p)
		r.answers <- replicaAnswer[T]{p.Name, value, err}
		return nil
	})
	return true
}

// follow puts the leader that a replica names at the front, unless it was asked before.
func (r *round[T]) follow(err error) {
	if !r.client.follow(err) {
		return
	}
	leader := r.client.presumedLeader()
	i := slices.IndexFunc(r.left, func(p deck.Peer) bool { return p.Name == leader })
	if i > 0 {
		p := r.left[i]
		r.left = slices.Insert(slices.Delete(r.left, i, i+1), 0, p)
	}
}

// refill lets all replicas be asked again that have answered while another one is silent: one of them may lead by now.
func (r *round[T]) refill() {
	if len(r.left) > 0 {
		return
	}
	for _, p := range r.client.candidates() {
		if !slices.Contains(r.asked, p.Name) {
			r.left = append(r.left, p)
		}
	}
}
