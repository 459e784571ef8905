package engine

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Limits of pooled connections. A path that lost its state for a connection silences it for good, so that old and idle
// connections are worth less than the dial they save.
const (
	maxConnectionAge      = 60 * time.Second
	maxConnectionIdleTime = 10 * time.Second
	maxIdleConnsPerEngine = 32
	dialTimeout           = 2 * time.Second
)

// A DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// A dialError is a failure to connect, after which nothing was sent.
type dialError struct{ err error }

func (e *dialError) Error() string { return e.err.Error() }

func (e *dialError) Unwrap() error { return e.err }

// A pool holds the connections to one engine. It replaces its transport at the maximum age, so that no request starts
// on an older connection; requests that run on the old transport finish there.
type pool struct {
	dial  DialFunc
	clock deck.Clock

	mu        sync.Mutex
	current   *http.Transport
	createdAt time.Time
}

// pooled returns the transport for requests that may share connections.
func (p *pool) pooled() *http.Transport {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if p.current != nil && now.Sub(p.createdAt) < maxConnectionAge {
		return p.current
	}
	if p.current != nil {
		p.current.CloseIdleConnections()
	}
	p.current = p.newTransport()
	p.createdAt = now
	return p.current
}

// unpooled returns a transport that opens a new connection for each request.
func (p *pool) unpooled() *http.Transport {
	t := p.newTransport()
	t.DisableKeepAlives = true
	return t
}

// closeIdle closes the connections that carry no request.
func (p *pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current != nil {
		p.current.CloseIdleConnections()
	}
}

func (p *pool) newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         p.connect,
		DisableCompression:  true,
		IdleConnTimeout:     maxConnectionIdleTime,
		MaxIdleConnsPerHost: maxIdleConnsPerEngine,
	}
}

func (p *pool) connect(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := p.dial(ctx, network, address)
	if err != nil {
		return nil, &dialError{err}
	}
	return conn, nil
}
