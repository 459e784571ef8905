package engine

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/httpresponse"
)

// Limits of pooled connections. When a network device on the path loses its state for a connection, it drops all further
// packets without a reset. Reusing an old or idle connection therefore risks more than the dial that it saves.
const (
	maxConnectionAge      = 60 * time.Second
	maxConnectionIdleTime = 10 * time.Second
	maxIdleConnsPerEngine = 32
	dialTimeout           = 2 * time.Second
	maxHeadBytes          = 16 << 10 // of a response
)

// A DialFunc opens a network connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// A dialError is a failure to connect; it implies that nothing was sent.
type dialError struct{ err error }

func (e *dialError) Error() string { return e.err.Error() }

func (e *dialError) Unwrap() error { return e.err }

// A pool holds the connections to one engine. It replaces its transport once that reaches maxConnectionAge, so that no
// request starts on an older connection; requests in flight finish on the old transport.
type pool struct {
	dial  DialFunc
	clock deck.Clock

	mu        sync.Mutex
	current   *httpresponse.Transport
	createdAt time.Time
}

// pooled returns the transport for requests that may reuse an idle connection.
func (p *pool) pooled() *httpresponse.Transport {
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

// unpooled returns a transport that opens a new connection for each request and closes it afterwards.
func (p *pool) unpooled() *httpresponse.Transport {
	t := p.newTransport()
	t.Base.DisableKeepAlives = true
	return t
}

// closeIdle closes the pooled connections that have no request in flight.
func (p *pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current != nil {
		p.current.CloseIdleConnections()
	}
}

func (p *pool) newTransport() *httpresponse.Transport {
	return &httpresponse.Transport{Base: http.Transport{
		DialContext:            p.connect,
		DisableCompression:     true,
		IdleConnTimeout:        maxConnectionIdleTime,
		MaxIdleConnsPerHost:    maxIdleConnsPerEngine,
		MaxResponseHeaderBytes: maxHeadBytes,
	}}
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
