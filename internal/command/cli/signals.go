package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// signalContexts returns a context that ends at the first SIGTERM or SIGINT, and one that ends at the second signal or when
// the drain time has passed since the first. The caller must call release when both are no longer needed.
func signalContexts(drain time.Duration) (stop, kill context.Context, release func()) {
	stop, cancelStop := context.WithCancel(context.Background())
	kill, cancelKill := context.WithCancel(context.Background())
	received := make(chan os.Signal, 2)
	signal.Notify(received, syscall.SIGTERM, syscall.SIGINT)
	released := make(chan struct{})
	var g errgroup.Group
	g.Go(func() error {
		defer cancelKill()
		select {
		case <-received:
			cancelStop()
		case <-released:
			return nil
		}
		t := time.NewTimer(drain)
		defer t.Stop()
		select {
		case <-received:
		case <-t.C:
		case <-released:
		}
		return nil
	})
	return stop, kill, func() {
		signal.Stop(received)
		close(released)
		_ = g.Wait()
		cancelStop()
	}
}
