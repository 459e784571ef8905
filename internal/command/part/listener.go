package part

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/core/kernel"
)

// Limits of the peers' and operators' listeners.
const (
	readTimeout    = 30 * time.Second
	IdleTimeout    = 2 * time.Minute
	maxHeaderBytes = 32 << 10
	maxRequests    = 512 // served at once
)

// A Listener serves HTTP on one address; it is bound before the process reports that it started.
type Listener struct {
	server *http.Server
	Socket net.Listener // may be wrapped before Run
	done   chan struct{}
}

var (
	_ kernel.Runner  = (*Listener)(nil)
	_ kernel.Drainer = (*Listener)(nil)
)

// Listen binds the address for a server.
func Listen(address string, server *http.Server) (*Listener, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	return &Listener{server: server, Socket: l, done: make(chan struct{})}, nil
}

// Bounded returns a server for the system's own peers or operators.
func Bounded(h http.Handler, headerTimeout time.Duration) *http.Server {
	slots := make(chan struct{}, maxRequests)
	limited := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
			h.ServeHTTP(w, r)
		default:
			http.Error(w, "too many requests at once", http.StatusServiceUnavailable)
		}
	})
	return &http.Server{
		Handler:           limited,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       IdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// Done implements kernel.Runner.Done.
func (l *Listener) Done() <-chan struct{} {
	return l.done
}

// Drain implements kernel.Drainer.Drain; peers and operators stay served until the process ends.
func (l *Listener) Drain(context.Context) error {
	return nil
}

// Run implements kernel.Runner.Run.
func (l *Listener) Run(ctx context.Context) error {
	defer close(l.done)
	var g errgroup.Group
	g.Go(func() error {
		<-ctx.Done()
		return l.server.Close()
	})
	err := l.server.Serve(l.Socket)
	if errors.Is(err, http.ErrServerClosed) {
		err = nil
	}
	return errors.CombineErrors(err, g.Wait())
}
