package kernel

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"
)

// A Runner is a service that runs in the background.
type Runner interface {
	// Done returns a channel that is closed when Run has returned.
	Done() <-chan struct{}

	// Run runs the service until ctx ends. An error other than context.Canceled stops the process.
	Run(ctx context.Context) error
}

// A Drainer is a service that finishes its work in progress before the process stops.
type Drainer interface {
	// Drain refuses new work and returns when the work in progress has finished or ctx ends.
	Drain(ctx context.Context) error
}

// A Kernel holds the services of a process by name; its zero value is empty and ready to use.
type Kernel struct {
	Log logr.Logger

	mu       sync.Mutex
	services map[string]any
	order    []string
}

// Add registers a service under a name. It returns an error if the name is taken.
func (k *Kernel) Add(name string, service any) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.services[name]; ok {
		return errors.Newf("service %q is already registered", name)
	}
	if k.services == nil {
		k.services = make(map[string]any)
	}
	k.services[name] = service
	k.order = append(k.order, name)
	return nil
}

// Drain drains the services in the reverse order of their registration.
func (k *Kernel) Drain(ctx context.Context) error {
	var all error
	names := k.names()
	for i := len(names) - 1; i >= 0; i-- {
		d, ok := k.service(names[i]).(Drainer)
		if !ok {
			continue
		}
		if err := d.Drain(ctx); err != nil {
			all = errors.CombineErrors(all, errors.Wrapf(err, "drain %s", names[i]))
		}
	}
	return all
}

// Run runs all services until stop ends, drains them, and returns when every service has returned. The end of kill stops the
// services without waiting for the drain.
func (k *Kernel) Run(stop, kill context.Context) error {
	ctx, cancel := context.WithCancel(kill)
	defer cancel()
	g, gctx := errgroup.WithContext(ctx)
	for _, name := range k.names() {
		r, ok := k.service(name).(Runner)
		if !ok {
			continue
		}
		g.Go(func() error { return k.run(gctx, name, r) })
	}
	g.Go(func() error {
		select {
		case <-gctx.Done():
			return nil
		case <-stop.Done():
		}
		k.Log.Info("draining")
		err := k.Drain(gctx)
		cancel()
		return err
	})
	return g.Wait()
}

func (k *Kernel) names() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]string(nil), k.order...)
}

func (k *Kernel) run(ctx context.Context, name string, r Runner) error {
	err := r.Run(ctx)
	if err == nil || errors.Is(err, context.Canceled) {
		return nil
	}
	return errors.Wrapf(err, "service %s", name)
}

func (k *Kernel) service(name string) any {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.services[name]
}

// Find returns the service registered under a name. It returns an error if there is none or it is not a T.
func Find[T any](k *Kernel, name string) (T, error) {
	var zero T
	s := k.service(name)
	if s == nil {
		return zero, errors.Newf("service %q is not registered", name)
	}
	t, ok := s.(T)
	if !ok {
		return zero, errors.Newf("service %q is a %T, not a %T", name, s, zero)
	}
	return t, nil
}
