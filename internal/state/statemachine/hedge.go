package statemachine

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A hedgedRequest sends one request to the control replicas until one of them succeeds.
type hedgedRequest[T any] struct {
	client    *Client
	do        func(context.Context, deck.Peer) (T, error)
	ctx       context.Context
	group     errgroup.Group
	responses chan replicaResponse[T]
	pending   []deck.VMName // replicas whose response is outstanding
	remaining []deck.Peer   // replicas that the request is still to be sent to, in order
	err       error         // of a replica that may have executed the request, if there is one
}

// A replicaResponse is the result or the error from one replica.
type replicaResponse[T any] struct {
	from  deck.VMName
	value T
	err   error
}

// callReplicas returns the first successful response of a control replica. It sends the request to the presumed leader
// first, and to the next replica when one fails or does not respond within hedgeDelay; earlier requests stay in flight. If
// none succeeds, it returns the error of a replica that may have executed the request, if there is one.
func callReplicas[T any](
	ctx context.Context, c *Client, do func(context.Context, deck.Peer) (T, error),
) (value T, from deck.VMName, err error) {
	ctx, cancel := context.WithCancel(ctx)
	r := &hedgedRequest[T]{
		client: c, do: do, ctx: ctx, responses: make(chan replicaResponse[T]), remaining: c.replicasByPreference(),
		err: &NotProposedError{Cause: errors.New("no control replica answers")},
	}
	resp, ok := r.run()
	cancel()
	for len(r.pending) > 0 {
		r.recordResponse(<-r.responses)
	}
	_ = r.group.Wait() // the functions return no errors
	if ok {
		return resp.value, resp.from, nil
	}
	return value, "", r.err
}

// run returns the first successful response; ok is false if every replica failed or the context ended.
func (r *hedgedRequest[T]) run() (resp replicaResponse[T], ok bool) {
	hedge := time.NewTicker(hedgeDelay)
	defer hedge.Stop()
	for r.ctx.Err() == nil && (r.sendNext() || len(r.pending) > 0) {
		hedge.Reset(hedgeDelay)
		select {
		case resp := <-r.responses:
			r.recordResponse(resp)
			if resp.err == nil {
				return resp, true
			}
			r.adoptLeaderHint(resp.err)
		case <-hedge.C:
			r.requeueResponders()
		case <-r.ctx.Done():
		}
	}
	return resp, false
}

// recordResponse removes the replica from the pending ones. It keeps the first error after which the request may have been
// executed, in preference to errors that rule it out.
func (r *hedgedRequest[T]) recordResponse(resp replicaResponse[T]) {
	r.pending = slices.DeleteFunc(r.pending, func(vm deck.VMName) bool { return vm == resp.from })
	if resp.err != nil && provesNotProposed(r.err) {
		r.err = resp.err
	}
}

// sendNext sends the request to the next remaining replica and reports whether there was one.
func (r *hedgedRequest[T]) sendNext() bool {
	if len(r.remaining) == 0 {
		return false
	}
	p := r.remaining[0]
	r.remaining = r.remaining[1:]
	r.pending = append(r.pending, p.Name)
	r.group.Go(func() error {
		value, err := r.do(r.ctx, p)
		r.responses <- replicaResponse[T]{p.Name, value, err}
		return nil
	})
	return true
}

// adoptLeaderHint moves the leader that a NotLeaderError names to the front of the remaining replicas, if it is among them.
func (r *hedgedRequest[T]) adoptLeaderHint(err error) {
	if !r.client.adoptLeaderHint(err) {
		return
	}
	leader := r.client.presumedLeader()
	i := slices.IndexFunc(r.remaining, func(p deck.Peer) bool { return p.Name == leader })
	if i > 0 {
		p := r.remaining[i]
		r.remaining = slices.Insert(slices.Delete(r.remaining, i, i+1), 0, p)
	}
}

// requeueResponders queues the replicas that have responded once more if none remain while another one does not respond:
// one of them may have been elected since.
func (r *hedgedRequest[T]) requeueResponders() {
	if len(r.remaining) > 0 {
		return
	}
	for _, p := range r.client.replicasByPreference() {
		if !slices.Contains(r.pending, p.Name) {
			r.remaining = append(r.remaining, p)
		}
	}
}
