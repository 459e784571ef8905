package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// signals returns a context that ends at the first SIGTERM or SIGINT, and one that ends at the second or when the drain
// has taken too long.
func signals(drain time.Duration) (stop, kill context.Context, release func()) {
	stop, endStop := context.WithCancel(context.Background())
	kill, endKill := context.WithCancel(context.Background())
	received := make(chan os.Signal, 2)
	signal.Notify(received, syscall.SIGTERM, syscall.SIGINT)
	over := make(chan struct{})
	var g errgroup.Group
	g.Go(func() error {
		defer endKill()
		select {
		case <-received:
			endStop()
		case <-over:
			return nil
		}
		t := time.NewTimer(drain)
		defer t.Stop()
		select {
		case <-received:
		case <-t.C:
		case <-over:
		}
		return nil
	})
	return stop, kill, func() {
		signal.Stop(received)
		close(over)
		_ = g.Wait()
		endStop()
	}
}
