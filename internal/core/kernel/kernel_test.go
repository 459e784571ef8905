package kernel

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

type recorder struct {
	mu   *sync.Mutex
	log  *[]string
	name string
	done chan struct{}
	fail error
}

func (r recorder) Done() <-chan struct{} { return r.done }

func (r recorder) Drain(context.Context) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	*r.log = append(*r.log, r.name)
	return nil
}

func (r recorder) Run(ctx context.Context) error {
	defer close(r.done)
	if r.fail != nil {
		return r.fail
	}
	<-ctx.Done()
	return ctx.Err()
}

// Guards against draining a service before those that depend on it.
func TestDrainsInReverseOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var k Kernel
		var mu sync.Mutex
		var log []string
		for _, n := range []string{"a", "b", "c"} {
			is.NoErr(k.Add(n, recorder{mu: &mu, log: &log, name: n, done: make(chan struct{})}))
		}
		stop, cancel := context.WithCancel(t.Context())
		cancel()
		is.NoErr(k.Run(stop, t.Context()))
		is.Equal(log, []string{"c", "b", "a"})
	})
}

// Guards against a process that goes on after one of its services has failed.
func TestFailureStopsAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var k Kernel
		var mu sync.Mutex
		var log []string
		is.NoErr(k.Add("a", recorder{mu: &mu, log: &log, done: make(chan struct{})}))
		is.NoErr(k.Add("b", recorder{mu: &mu, log: &log, done: make(chan struct{}), fail: errors.New("broken")}))
		err := k.Run(t.Context(), t.Context())
		is.Equal(err.Error(), "service b: broken")
	})
}

// Guards against silent replacement of a service and against a wrong type behind a name.
func TestFind(t *testing.T) {
	is := is.New(t)
	var k Kernel
	is.NoErr(k.Add("n", 7))
	is.True(k.Add("n", 8) != nil)
	n, err := Find[int](&k, "n")
	is.NoErr(err)
	is.Equal(n, 7)
	_, err = Find[string](&k, "n")
	is.True(err != nil)
	_, err = Find[int](&k, "m")
	is.True(err != nil)
}
