package process

import (
	"context"

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
