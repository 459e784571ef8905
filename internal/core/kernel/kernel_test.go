package kernel

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

type fakeService struct {
	mu      *sync.Mutex
	drained *[]string
	name    string
	done    chan struct{}
	fail    error
}

func (s fakeService) Done() <-chan struct{} { return s.done }

func (s fakeService) Drain(context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	*s.drained = append(*s.drained, s.name)
	return nil
}

func (s fakeService) Run(ctx context.Context) error {
	defer close(s.done)
	if s.fail != nil {
		return s.fail
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
		var drained []string
		for _, n := range []string{"a", "b", "c"} {
			is.NoErr(k.Add(n, fakeService{mu: &mu, drained: &drained, name: n, done: make(chan struct{})}))
		}
		stop, cancel := context.WithCancel(t.Context())
		cancel()
		is.NoErr(k.Run(stop, t.Context()))
		is.Equal(drained, []string{"c", "b", "a"})
	})
}

// Guards against a process that keeps running after one of its services has failed.
func TestFailureStopsAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var k Kernel
		var mu sync.Mutex
		var drained []string
		is.NoErr(k.Add("a", fakeService{mu: &mu, drained: &drained, done: make(chan struct{})}))
		is.NoErr(k.Add("b", fakeService{mu: &mu, drained: &drained, done: make(chan struct{}), fail: errors.New("broken")}))
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
