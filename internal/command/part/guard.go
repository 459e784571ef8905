package part

import (
	"net/http"
	"time"

	"go.opentelemetry.io/otel/metric"
	"golang.org/x/sys/unix"

	"github.com/geraniumdeck/geraniumdeck/internal/api/inbound"
)

// Shares of the descriptors of a process that its listeners, and its connections to backend servers, may use. The rest is for
// connections to other VMs.
const (
	CallersShare   = 0.5
	BackendsShare  = 0.3
	PeersShare     = 0.5
	OperatorsShare = 0.2
	OtherShare     = 0.05
)

// MaxResponseHeadBytes bounds the heads of responses of other VMs, of the platform, and of engines to orders and requests for reports.
// They have some hundred bytes; short lines take many times their bytes when decoded.
const MaxResponseHeadBytes = 16 << 10

// maxDescriptors is assumed where the operating system sets no limit.
const maxDescriptors = 1 << 20

// MaxDescriptors returns the limit of the operating system on open descriptors, or 0 if it is not known.
func MaxDescriptors() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int(min(limit.Cur, maxDescriptors))
}

// A Guard bounds what the clients of a process's listeners can make it hold.
type Guard struct {
	Limits inbound.Limits
	Memory *inbound.Budget
	Meter  metric.Meter
}

// Protect bounds the connections of a listener, which may use a share of the descriptors, and the heads of requests.
func (g Guard) Protect(name string, l *Listener, share float64) (*inbound.Listener, error) {
	in := inbound.Guard(l.Socket, l.server, g.Memory, g.Limits.MaxConnections(share))
	l.Socket = in
	return in, RegisterConnections(g.Meter, name, in)
}

// maxBodyBytes is the size of the largest bodies that operators and other VMs send: routing configurations.
const maxBodyBytes = 8 << 20

// NewLimitedServer is like the function of that name, for a server that reads bodies within the memory for clients.
func (g Guard) NewLimitedServer(h http.Handler, headerTimeout time.Duration) *http.Server {
	srv := NewLimitedServer(h, headerTimeout)
	srv.Handler = g.Memory.Buffer(srv.Handler, maxBodyBytes)
	return srv
}
