package process

import (
	"context"
	"net"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// A trafficCounter counts the requests and bytes that VMs exchange. The bytes have a budget per VM.
type trafficCounter struct {
	bytes    metric.Int64Counter
	requests metric.Int64Counter
	in       metric.MeasurementOption
	out      metric.MeasurementOption
}

func newTrafficCounter(meter metric.Meter) (*trafficCounter, error) {
	b, err := meter.Int64Counter("geraniumdeck.control.traffic",
		metric.WithUnit("By"), metric.WithDescription("Bytes exchanged with other VMs."))
	r, err2 := meter.Int64Counter("geraniumdeck.control.requests",
		metric.WithUnit("{request}"), metric.WithDescription("Requests of other VMs by path."))
	return &trafficCounter{
		bytes:    b,
		requests: r,
		in:       metric.WithAttributeSet(attribute.NewSet(attribute.String("direction", "in"))),
		out:      metric.WithAttributeSet(attribute.NewSet(attribute.String("direction", "out"))),
	}, errors.Join(err, err2)
}

// countRequests returns a handler that counts requests by path.
func (t *trafficCounter) countRequests(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(w, r)
		_, path, _ := strings.Cut(r.Pattern, " ")
		t.requests.Add(context.Background(), 1, metric.WithAttributes(attribute.String("path", path)))
	})
}

// dial opens a connection and counts its traffic.
func (t *trafficCounter) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return countingConn{c, t}, nil
}

// A countingListener counts the traffic of the connections that it accepts.
type countingListener struct {
	net.Listener
	traffic *trafficCounter
}

// Accept implements net.Listener.Accept.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{c, l.traffic}, nil
}

// A countingConn counts the bytes that it reads and writes.
type countingConn struct {
	net.Conn
	traffic *trafficCounter
}

// Read implements net.Conn.Read.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.bytes.Add(context.Background(), int64(n), c.traffic.in)
	return n, err
}

// Write implements net.Conn.Write.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.bytes.Add(context.Background(), int64(n), c.traffic.out)
	return n, err
}
