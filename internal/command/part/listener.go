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

// Limits of the servers that NewLimitedServer returns. Clients have to close idle connections before IdleTimeout.
const (
	readTimeout    = 30 * time.Second
	IdleTimeout    = 2 * time.Minute
	maxHeaderBytes = 32 << 10
	maxRequests    = 512 // served concurrently; others get status 503
)

// A Listener is a kernel service that serves HTTP on one address. The address is bound before Run is called.
type Listener struct {
	server *http.Server
	Socket net.Listener // may be replaced by a wrapper before Run
	done   chan struct{}
}

var (
	_ kernel.Runner  = (*Listener)(nil)
	_ kernel.Drainer = (*Listener)(nil)
)

// Listen binds a TCP address for the server.
func Listen(address string, server *http.Server) (*Listener, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	return &Listener{server: server, Socket: l, done: make(chan struct{})}, nil
}

// NewLimitedServer returns a server for peers, operators or probes, with limits on time, header size and concurrent requests.
func NewLimitedServer(h http.Handler, headerTimeout time.Duration) *http.Server {
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

// Drain implements kernel.Drainer.Drain. It does nothing, because peers and operators are served until the process ends.
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
