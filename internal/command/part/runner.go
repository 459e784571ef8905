package part

import (
	"context"

	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/core/kernel"
)

// A Runner is a kernel service that runs a function.
type Runner struct {
	run  func(ctx context.Context) error
	done chan struct{}
}

var _ kernel.Runner = (*Runner)(nil)

// NewRunner returns a Runner for the function, which has to return when its context ends.
func NewRunner(run func(ctx context.Context) error) *Runner {
	return &Runner{run: run, done: make(chan struct{})}
}

// Done implements kernel.Runner.Done.
func (r *Runner) Done() <-chan struct{} {
	return r.done
}

// Run implements kernel.Runner.Run.
func (r *Runner) Run(ctx context.Context) error {
	defer close(r.done)
	return r.run(ctx)
}

// RunInGroup returns a function for NewRunner that calls start with a new group, and waits until the group's goroutines have
// ended and the channel from start is closed.
func RunInGroup(start func(ctx context.Context, g *errgroup.Group) <-chan struct{}) func(context.Context) error {
	return func(ctx context.Context) error {
		g, ctx := errgroup.WithContext(ctx)
		done := start(ctx, g)
		err := g.Wait()
		<-done
		return err
	}
}
