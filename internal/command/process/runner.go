package process

import (
	"context"

	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/core/kernel"
)

// A runner makes a service of a function.
type runner struct {
	run  func(ctx context.Context) error
	done chan struct{}
}

var _ kernel.Runner = (*runner)(nil)

func newRunner(run func(ctx context.Context) error) *runner {
	return &runner{run: run, done: make(chan struct{})}
}

// Done implements kernel.Runner.Done.
func (r *runner) Done() <-chan struct{} {
	return r.done
}

// Run implements kernel.Runner.Run.
func (r *runner) Run(ctx context.Context) error {
	defer close(r.done)
	return r.run(ctx)
}

// groupRun makes a run function of a service that starts its goroutines in a group.
func groupRun(start func(ctx context.Context, g *errgroup.Group) <-chan struct{}) func(context.Context) error {
	return func(ctx context.Context) error {
		g, ctx := errgroup.WithContext(ctx)
		done := start(ctx, g)
		err := g.Wait()
		<-done
		return err
	}
}
