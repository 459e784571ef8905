package node

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"golang.org/x/sys/unix"

	"github.com/geraniumdeck/geraniumdeck/internal/command/part"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/core/kernel"
	"github.com/geraniumdeck/geraniumdeck/internal/report/telemetry"
	settings "github.com/geraniumdeck/geraniumdeck/internal/settings/node"
)

const (
	memoryShare   = 0.6 // of the process's memory for the Go heap; the rest is for stacks and socket buffers
	collectAt     = 200 // percent of live heap that is allocated between two collections
	headerTimeout = 5 * time.Second
	reloadPeriod  = 1 * time.Second // the settings file may change without a signal

	peerDialTimeout = 400 * time.Millisecond // several ways between regions
	peerIdle        = 10 * time.Second       // a connection that lost its state on the network path is not kept for long

	// unackedTimeout ends connections whose other end no longer acknowledges bytes.
	unackedTimeout = 2 * time.Second

	// probeIdle and probeCount find connections that went silent without bytes on their way.
	probeIdle  = 1 * time.Second
	probeCount = 3
)

// A Role says what a process does.
type Role string

// The roles.
const (
	Entry   Role = "entry"   // serves callers
	Control Role = "control" // holds a replica of the log; its leader sends orders to engines
)

// A Node is one VM's process.
type Node struct {
	kernel kernel.Kernel
	file   string
	log    logr.Logger
	logs   *telemetry.DropWriter
	mux    *http.ServeMux // of the metrics' listener
	meters *telemetry.Metrics

	current atomic.Pointer[settings.Settings]
	hangup  chan os.Signal // SIGHUP says that the settings file has changed
}

// New assembles a process; its listeners are bound when New returns.
func New(file string, s settings.Settings, role Role) (*Node, error) {
	tune(s)
	logs := telemetry.NewDropWriter(os.Stdout)
	log := telemetry.NewLogger(logs, deck.VMName(s.VM)).WithValues("role", string(role))
	n := &Node{kernel: kernel.Kernel{Log: log}, file: file, log: log, logs: logs, mux: http.NewServeMux()}
	n.hangup = make(chan os.Signal, 1)
	signal.Notify(n.hangup, syscall.SIGHUP) // without this the signal would end the process
	n.current.Store(&s)
	m, err := telemetry.NewMetrics()
	if err != nil {
		return nil, err
	}
	n.meters = m
	n.mux.Handle("GET /metrics", m.Handler())
	add := addEntry
	if role == Control {
		add = addControl
	}
	if err := add(n, s); err != nil {
		return nil, err
	}
	if err := n.kernel.Add("settings", part.NewRunner(n.watchSettings)); err != nil {
		return nil, err
	}
	return n, n.listen("metrics-listener", s.MetricsAddress(), part.Bounded(n.mux, headerTimeout))
}

// tune fits the garbage collector to the VM's memory.
func tune(s settings.Settings) {
	debug.SetGCPercent(collectAt)
	if s.Megabytes > 0 {
		debug.SetMemoryLimit(int64(float64(s.Megabytes) * memoryShare * float64(deck.MiB)))
	}
}

// Run works until stop ends and then drains; the end of kill stops it at once.
func (n *Node) Run(stop, kill context.Context) error {
	var logs sync.WaitGroup
	ctx, end := context.WithCancel(context.Background())
	logs.Go(func() { _ = n.logs.Run(ctx) }) // always nil
	n.log.Info("started", "pid", os.Getpid(), "data-centre", string(n.settings().DataCentre))
	err := n.kernel.Run(stop, kill)
	n.log.Info("stopped", "error", deck.ErrorText(err))
	end()
	logs.Wait()
	return err
}

func (n *Node) settings() *settings.Settings {
	return n.current.Load()
}

func (n *Node) seeds() []deck.VMName {
	return n.settings().SeedPeers()
}

// watchSettings reads the settings file again now and then; only the seeds may change while the process runs.
func (n *Node) watchSettings(ctx context.Context) error {
	ticker := time.NewTicker(reloadPeriod)
	defer ticker.Stop()
	seen := time.Time{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.hangup:
			n.reload()
			continue
		case <-ticker.C:
		}
		info, err := os.Stat(n.file)
		if err != nil || info.ModTime().Equal(seen) {
			continue // the next look finds a file that is being replaced
		}
		seen = info.ModTime()
		n.reload()
	}
}

func (n *Node) reload() {
	s, err := settings.Read(n.file)
	if err != nil {
		n.log.Info("settings not reloaded; the old ones stay in force", "reason", err.Error())
		return
	}
	old := n.current.Swap(&s)
	n.log.Info("settings reloaded", "seeds", s.Seeds, "before", old.Seeds)
}

// listen adds a listener; an empty address adds none.
func (n *Node) listen(name, address string, srv *http.Server) error {
	if address == "" {
		return nil
	}
	l, err := part.Listen(address, srv)
	if err != nil {
		return errors.Wrap(err, name)
	}
	return n.kernel.Add(name, l)
}

// dial opens a TCP connection that ends when its other end has gone silent.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{
		Control: func(_, _ string, c syscall.RawConn) error {
			var err error
			cerr := c.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			})
			return errors.CombineErrors(cerr, err)
		},
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeIdle, Count: probeCount},
	}
	return d.DialContext(ctx, network, address)
}

// newPeerClient returns a client for the system's own messages and for the platform's calls.
func newPeerClient() *http.Client {
	return &http.Client{Transport: part.LeanTransport{Next: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, peerDialTimeout)
			defer cancel()
			return dial(ctx, network, address)
		},
		MaxIdleConnsPerHost: 4,
		DisableCompression:  true,
		IdleConnTimeout:     peerIdle,
	}}}
}

// lockedRand is a random source for several goroutines.
type lockedRand struct {
	mu sync.Mutex
	r  *rand.Rand
}

var _ deck.Rand = (*lockedRand)(nil)

func newRand() *lockedRand {
	return &lockedRand{r: rand.New(part.NewSource())}
}

// Float64 implements deck.Rand.Float64.
func (l *lockedRand) Float64() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.r.Float64()
}

// IntN implements deck.Rand.IntN.
func (l *lockedRand) IntN(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.r.IntN(n)
}
