package node

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
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
	"github.com/geraniumdeck/geraniumdeck/internal/wire/httpresponse"
	"github.com/geraniumdeck/geraniumdeck/platform"
)

const (
	heapShare             = 0.6 // of the process's memory limit, for the Go heap; the rest is for stacks and socket buffers
	gcPercent             = 200 // GOGC: percentage of the live heap that is allocated between two collections
	headerTimeout         = 5 * time.Second
	settingsCheckInterval = 1 * time.Second // the settings file may change without a signal

	peerDialTimeout = 400 * time.Millisecond // several one-way delays between regions
	peerIdleTimeout = 10 * time.Second       // short, since a connection may have lost its state on the network path

	// tcpUserTimeout closes connections whose remote end no longer acknowledges bytes.
	tcpUserTimeout = 2 * time.Second

	// keepAliveInterval and keepAliveProbes detect an unreachable remote end while no bytes are in flight.
	keepAliveInterval = 1 * time.Second
	keepAliveProbes   = 3
)

// A Role is the kind of VM that a process runs as.
type Role string

// Roles of a process.
const (
	Entry   Role = "entry"   // serves callers
	Control Role = "control" // holds a replica of the log; its leader sends orders to engines
)

// A Node is the process of one VM.
type Node struct {
	kernel       kernel.Kernel
	settingsFile string
	log          logr.Logger
	logWriter    *telemetry.DropWriter
	metricsMux   *http.ServeMux // of the metrics listener
	metrics      *telemetry.Metrics
	guard        part.Guard

	currentSettings atomic.Pointer[settings.Settings]
	sighup          chan os.Signal // SIGHUP signals a change of the settings file
}

// New returns a node with the settings and role; its listeners are bound when New returns. The node reloads the settings
// when settingsFile changes.
func New(settingsFile string, s settings.Settings, role Role) (*Node, error) {
	configureGC(s)
	logWriter := telemetry.NewDropWriter(os.Stdout)
	log := telemetry.NewLogger(logWriter, deck.VMName(s.VM)).WithValues("role", string(role))
	n := &Node{
		kernel: kernel.Kernel{Log: log}, settingsFile: settingsFile, log: log, logWriter: logWriter, metricsMux: http.NewServeMux(),
	}
	n.sighup = make(chan os.Signal, 1)
	signal.Notify(n.sighup, syscall.SIGHUP) // by default the signal would terminate the process
	n.currentSettings.Store(&s)
	m, err := telemetry.NewMetrics()
	if err != nil {
		return nil, err
	}
	n.metrics = m
	limits := newLimits(s)
	n.guard = part.Guard{Limits: limits, Memory: limits.NewBudget(), Meter: m.Meter()}
	n.metricsMux.Handle("GET /metrics", m.Handler())
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
	return n, errors.Join(
		n.listenLimited("metrics-listener", s.MetricsAddress(), n.metricsMux, part.OtherShare),
		part.RegisterMemory(m.Meter(), n.guard.Memory),
	)
}

// configureGC sets the garbage collector's target percentage, and its memory limit if the settings have one.
func configureGC(s settings.Settings) {
	debug.SetGCPercent(gcPercent)
	if s.MemoryMiB > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryMiB) * heapShare * float64(deck.MiB)))
	}
}

// Run runs the process until stop ends and then drains it. It stops at once when kill ends.
func (n *Node) Run(stop, kill context.Context) error {
	var wg sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	wg.Go(func() { _ = n.logWriter.Run(ctx) }) // always nil
	n.log.Info("started", "pid", os.Getpid(), "data-centre", string(n.settings().DataCentre))
	err := n.kernel.Run(stop, kill)
	n.log.Info("stopped", "error", deck.ErrorText(err))
	cancel()
	wg.Wait()
	return err
}

func (n *Node) settings() *settings.Settings {
	return n.currentSettings.Load()
}

func (n *Node) seeds() []deck.VMName {
	return n.settings().SeedNames()
}

// watchSettings reloads the settings file on SIGHUP and when its modification time changes. Only changes of the seeds take
// effect while the process runs.
func (n *Node) watchSettings(ctx context.Context) error {
	ticker := time.NewTicker(settingsCheckInterval)
	defer ticker.Stop()
	lastModified := time.Time{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.sighup:
			n.reload()
			continue
		case <-ticker.C:
		}
		info, err := os.Stat(n.settingsFile)
		if err != nil || info.ModTime().Equal(lastModified) {
			continue // a file that is being replaced is found at a later tick
		}
		lastModified = info.ModTime()
		n.reload()
	}
}

func (n *Node) reload() {
	s, err := settings.Read(n.settingsFile)
	if err != nil {
		n.log.Info("failed to reload settings; the previous settings stay in force", "reason", err.Error())
		return
	}
	old := n.currentSettings.Swap(&s)
	n.log.Info("settings reloaded", "seeds", s.Seeds, "before", old.Seeds)
}

// dial opens a TCP connection that is closed when its remote end stops responding.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{
		Control: func(_, _ string, c syscall.RawConn) error {
			var err error
			cerr := c.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
			})
			return errors.CombineErrors(cerr, err)
		},
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
	}
	return d.DialContext(ctx, network, address)
}

// dialPeer is dial with peerDialTimeout.
func dialPeer(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, peerDialTimeout)
	defer cancel()
	return dial(ctx, network, address)
}

// newPeerClient returns a client for requests to other VMs, to the platform and, besides calls and orders, to engines.
func newPeerClient() *http.Client {
	return &http.Client{Transport: part.TrimHeadersTransport{Next: &httpresponse.Transport{Base: http.Transport{
		DialContext:            dialPeer,
		MaxIdleConnsPerHost:    4,
		MaxResponseHeaderBytes: part.MaxResponseHeadBytes,
		DisableCompression:     true,
		IdleConnTimeout:        peerIdleTimeout,
	}}}}
}

// newServerList returns the platform's list of backend servers.
func newServerList(n *Node, s settings.Settings, client *http.Client) platform.ServerList {
	return platform.ServerList{
		Address: s.Platform.Address, HTTP: client, Log: n.log, DataCentres: slices.Sorted(maps.Keys(s.Regions)),
	}
}

// lockedRand is a random source that is safe for concurrent use.
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
