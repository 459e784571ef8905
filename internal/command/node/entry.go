package node

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/api/inbound"
	"github.com/geraniumdeck/geraniumdeck/internal/api/ingress"
	"github.com/geraniumdeck/geraniumdeck/internal/api/peer"
	"github.com/geraniumdeck/geraniumdeck/internal/backend/http1"
	"github.com/geraniumdeck/geraniumdeck/internal/command/part"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/core/restraint"
	"github.com/geraniumdeck/geraniumdeck/internal/core/revocation"
	"github.com/geraniumdeck/geraniumdeck/internal/route/balance"
	"github.com/geraniumdeck/geraniumdeck/internal/route/table"
	settings "github.com/geraniumdeck/geraniumdeck/internal/settings/node"
	"github.com/geraniumdeck/geraniumdeck/internal/state/hub"
	"github.com/geraniumdeck/geraniumdeck/internal/state/origin"
	"github.com/geraniumdeck/geraniumdeck/platform"
)

const (
	serverDialTimeout = 500 * time.Millisecond // several one-way delays between regions, plus the delay of a full accept queue
	serverIdleTimeout = 8 * time.Second        // of pooled connections to backend servers
	pruneInterval     = 1 * time.Second

	// callerIdleTimeout is the idle timeout of callers' connections. It exceeds the 15 s for which callers keep idle
	// connections by the users' specification, so that no call arrives on a connection that is being closed.
	callerIdleTimeout = 60 * time.Second

	// shutdownDelay is how long a draining VM still accepts new connections: the load balancer removes it after two failed
	// probes, which it sends once a second.
	shutdownDelay = 3 * time.Second

	// exitMargin is the part of the grace period that is reserved for the process's exit.
	exitMargin = 400 * time.Millisecond

	// answerMargin is how long before that the calls in flight are ended, so that their callers get an answer.
	answerMargin = 200 * time.Millisecond

	// retryBudgetShare is the share of the retry budget that is used. The rest is a margin, since the VMs' windows differ from
	// those in which the budget is checked, and calls are not spread evenly over the VMs.
	retryBudgetShare = 0.6

	// revocationHoldShare is the share of the bound on revocation for which the leader may hold a request, so that a confirmation of the
	// configuration outlasts a change of leader.
	revocationHoldShare = 0.25
)

// An entryVM holds the components of an entry VM.
type entryVM struct {
	node       *Node
	handler    *ingress.Handler
	client     *http1.Client
	balancer   *balance.Balancer
	restraints *restraint.Table
	budget     *balance.RetryBudget
	subscriber *hub.Subscriber
	vms        deck.VMCount
	keys       *revocation.Guard
	registry   *origin.Registry
	server     *http.Server
	listener   *inbound.Listener
	settings   settings.Settings

	draining        atomic.Bool
	serversReceived atomic.Bool // whether a list of backend servers has been received
}

func addEntry(n *Node, s settings.Settings) error {
	e := &entryVM{
		node: n, settings: s, budget: &balance.RetryBudget{}, restraints: &restraint.Table{Log: n.log, Self: s.PeerName()},
		keys: &revocation.Guard{Clock: deck.BootClock{}, Bound: s.Bounds.Revocation, Log: n.log},
	}
	e.balancer = balance.NewBalancer(distanceFrom(s), newRand(), e.restraints)
	e.setBudget(time.Now())
	e.client = &http1.Client{
		Dial:        func(ctx context.Context, addr string) (net.Conn, error) { return dial(ctx, "tcp", addr) },
		DialTimeout: serverDialTimeout,
		IdleTimeout: serverIdleTimeout,
		Memory:      n.guard.Memory,
	}
	fleet := peer.ControlClient{HTTP: newPeerClient(), DataCentre: s.DataCentre, Leader: e.leader}
	e.restraints.Permits = fleet
	recorder, err := newCallMetrics(n.metrics.Meter())
	if err != nil {
		return err
	}
	allowances, err := newAllowances(n, s, &peer.CreditClient{HTTP: fleet.HTTP, Peers: e.controlVMs})
	if err != nil {
		return err
	}
	hedges, err := newHedges(n.metrics.Meter(), s.Bounds)
	if err != nil {
		return err
	}
	customers, err := newCustomerMetrics(n.metrics.Meter(), e.keys)
	if err != nil {
		return err
	}
	e.registry, err = newOriginRegistry(n, s, peer.OriginClient{HTTP: fleet.HTTP}, e.controlVMs)
	if err != nil {
		return err
	}
	e.handler = &ingress.Handler{
		Codec: platform.Codec{}, Client: e.client, Balancer: e.balancer, Budget: e.budget, Placer: fleet,
		Demand: &ingress.DemandCounter{}, Poison: &ingress.PoisonDetector{}, Random: newRand(), Log: n.log,
		Restraints: e.restraints, Memory: n.guard.Memory, Allowances: allowances, Hedges: hedges, Origins: e.registry,
		TrustsKeys: e.keys.Accepts, OnKeyRefused: customers.recordRefusal,
		OnCallEnd: func(r ingress.CallRecord) {
			recorder.record(r)
			customers.record(r)
		},
	}
	e.subscriber = hub.NewSubscriber(hub.SubscriberOptions{
		Self: s.PeerName(), DataCentre: s.DataCentre, Seeds: n.seeds, FirstStart: s.FirstStart, Client: fleet,
		List:   newServerList(n, s, fleet.HTTP),
		Logger: n.log, Report: e.handler.FillReport, Config: e.applyConfig, Servers: e.setServers, VMs: e.setVMs,
		Blame: e.handler.ApplyBlame, Calls: e.handler.ApplyCalls,
		Confirmed: e.confirmConfig, MaxHold: time.Duration(revocationHoldShare * float64(s.Bounds.Revocation)),
	})
	e.handler.ViewAge, e.handler.HeardLeader = e.subscriber.Age, e.subscriber.HeardLeader
	e.handler.OnCrash = e.subscriber.ReportNow
	readyMux := http.NewServeMux()
	platform.RegisterReadiness(readyMux, e.ready)
	return errors.Join(
		n.kernel.Add("follower", e.subscriber),
		n.kernel.Add("direct-list", part.NewRunner(e.subscriber.RunDirect)),
		n.kernel.Add("pruning", part.NewRunner(e.prune)),
		n.kernel.Add("allowances", part.NewRunner(allowances.Run)),
		n.kernel.Add("stream-origins", part.NewRunner(e.registry.Run)),
		e.listen(),
		n.listenLimited("readiness-listener", s.Listen.Ready, readyMux, part.OtherShare),
		n.kernel.Add("drain", e),
	)
}

func (e *entryVM) listen() (err error) {
	e.server = &http.Server{
		Handler: e.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout,
	}
	e.handler.MaxCalls = e.node.guard.Limits.MaxCalls(part.BackendsShare)
	e.listener, err = e.node.listen("callers-listener", e.settings.Listen.Callers, e.server, part.CallersShare)
	e.handler.MakeRoom = e.listener.EvictUnread
	return err
}

// leader returns the leader that the subscriber knows, if it knows one.
func (e *entryVM) leader() (deck.VMName, bool) {
	return e.subscriber.Leader()
}

// controlVMs returns all control VMs that the subscriber knows.
func (e *entryVM) controlVMs() []deck.VMName {
	return e.subscriber.ControlVMs()
}

// ready reports whether the load balancer may send calls to this VM.
func (e *entryVM) ready() bool {
	return !e.draining.Load() && e.handler.Configured() && e.serversReceived.Load() && !e.handler.RefusesKeys()
}

// setBudget sets this VM's part of the retry budget that all entry VMs share. Until it is known how many they are, the VM has no part of what
// is allowed beyond the share of its calls.
func (e *entryVM) setBudget(now time.Time) {
	bounds := e.settings.Bounds
	slack := 0.0
	if e.vms.IsSettled(now) {
		slack = bounds.RetrySlack * retryBudgetShare / float64(max(1, e.vms.Count()))
	}
	e.budget.SetLimits(bounds.RetryWindow, bounds.RetryShare*retryBudgetShare, slack)
}

// setVMs sets the number of entry VMs that share the retry budget, the backend servers and their limits.
func (e *entryVM) setVMs(vms int) {
	now := time.Now()
	e.vms.Set(now, vms)
	e.setBudget(now)
	e.balancer.SetEntryVMs(e.vms.Count())
	e.restraints.SetVMs(now, vms)
}

func (e *entryVM) applyConfig(doc deck.RoutingDocument) {
	cfg, err := platform.RoutingDecoder{}.DecodeRouting(doc.Body)
	if err != nil {
		e.node.log.Error(err, "failed to decode the routing configuration from a control VM", "version", doc.Version)
		return
	}
	e.handler.SetRoutes(table.New(cfg))
	e.listener.SetLimits(cfg.Limits.MaxHeaderBytes, cfg.Limits.HeaderTimeout, cfg.Limits.IdleTimeout)
	e.node.log.Info("routing configuration in force", "version", doc.Version, "routes", len(cfg.Routes),
		"services", len(cfg.Services))
}

// confirmConfig records that the configuration with the version was the newest at the given time, if it is in force here.
func (e *entryVM) confirmConfig(version uint64, at time.Time) {
	if e.handler.ConfigVersion() >= version {
		e.keys.Confirm(at)
	}
}

func (e *entryVM) setServers(list []deck.Server) {
	e.registry.Announce(list)
	e.balancer.SetServers(time.Now(), list)
	e.serversReceived.Store(true)
}

// prune closes pooled connections that have been idle too long or lead to servers that are no longer listed.
func (e *entryVM) prune(ctx context.Context) error {
	deck.Every(ctx, pruneInterval, func(context.Context) { e.client.CloseIdle(e.balancer.HasAddress) })
	return nil
}

// Drain implements kernel.Drainer.Drain. It reports the VM as not ready to the load balancer, then closes idle connections
// and lets calls in flight finish within the grace period. Shortly before its end the remaining calls are answered.
func (e *entryVM) Drain(ctx context.Context) error {
	deadline := time.Now().Add(e.settings.Bounds.GracePeriod - exitMargin)
	e.draining.Store(true)
	e.handler.Drain()
	defer e.handler.EndCallsAt(deadline.Add(-answerMargin))()
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(shutdownDelay):
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	err := e.server.Shutdown(ctx)
	if err != nil {
		e.node.log.Info("grace period ended with calls in flight", "calls", e.handler.InFlight())
	}
	return nil
}

// distanceFrom returns a function that classifies data centres by their distance from this VM's.
func distanceFrom(s settings.Settings) func(deck.DataCentre) balance.Distance {
	return func(dc deck.DataCentre) balance.Distance {
		switch {
		case dc == s.DataCentre:
			return balance.SameDataCentre
		case s.Regions[dc] == s.Region:
			return balance.SameRegion
		default:
			return balance.OtherRegion
		}
	}
}
