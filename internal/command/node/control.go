package node

import (
	"context"
	"net/http"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/api/peer"
	"github.com/geraniumdeck/geraniumdeck/internal/command/part"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/core/restraint"
	"github.com/geraniumdeck/geraniumdeck/internal/place/order"
	settings "github.com/geraniumdeck/geraniumdeck/internal/settings/node"
	"github.com/geraniumdeck/geraniumdeck/internal/state/blamestore"
	"github.com/geraniumdeck/geraniumdeck/internal/state/disk"
	"github.com/geraniumdeck/geraniumdeck/internal/state/hub"
	"github.com/geraniumdeck/geraniumdeck/internal/state/join"
	"github.com/geraniumdeck/geraniumdeck/internal/state/replica"
	"github.com/geraniumdeck/geraniumdeck/internal/state/routing"
	"github.com/geraniumdeck/geraniumdeck/platform"
)

const (
	// deploymentName identifies the system in data folders; the platform assigns no name to a system.
	deploymentName = "platform"

	// maxLeadershipAge is the maximum age of the last check that this replica leads: several ticks of the log, and far less
	// than the duration of an election.
	maxLeadershipAge = 400 * time.Millisecond

	configFileName          = "routing-configuration" // file in the data folder
	configSaveRetryInterval = 500 * time.Millisecond

	// diskCheckInterval is the time between checks for a failed disk: the maximum time until a process with a failed disk
	// exits to be restarted from the disk.
	diskCheckInterval = 2 * time.Second
)

// A controlVM holds the components of a control VM.
type controlVM struct {
	node          *Node
	replica       *replica.Node
	machine       *routing.Machine
	publisher     *hub.Publisher
	orders        *order.Controller
	config        atomic.Pointer[deck.RoutingConfig]
	configFile    disk.BlobFile             // configuration in force, used after a restart until a leader is known
	configsToSave chan deck.RoutingDocument // newest document that is not saved yet
}

func addControl(n *Node, s settings.Settings) error {
	c := &controlVM{
		node: n, configFile: disk.BlobFile{Folder: s.DataFolder, Name: configFileName},
		configsToSave: make(chan deck.RoutingDocument, 1),
	}
	client := newPeerClient()
	answers := &peer.ReplicaAnswers{}
	if err := c.openReplica(s, client, answers); err != nil {
		return err
	}
	fleet := peer.ControlClient{HTTP: client, DataCentre: s.DataCentre, Leader: c.leader}
	restraints := &restraint.Table{Log: n.log}
	permits := &restraint.SharedPermits{
		Monitor: c.replica, Clock: deck.BootClock{}, MaxLeadershipAge: maxLeadershipAge,
		VMs: func() int { return c.publisher.EntryVMs() },
	}
	c.orders = order.NewController(order.Options{
		Self: s.PeerName(), Monitor: c.replica, Clock: deck.BootClock{}, MaxLeadershipAge: maxLeadershipAge,
		HandoverDelay: s.Bounds.Lease, EnginesCheckFencing: s.Bounds.EnginesCheckFencing,
		Engines:    platform.Engines{HTTP: client, Dial: dialPeer, Notices: restraints, Memory: n.guard.Memory},
		Restraints: restraints,
		Limit:      func(s deck.Server) (float64, bool) { return permits.Limit(s.ID, s.Incarnation()) },
		Servers:    newServerList(n, s, client),
		Config:     c.config.Load, Publish: func(term uint64, list []deck.Server) { c.publisher.SetServers(term, list) },
		CallsInFlight: func(id deck.BackendName) int { return c.publisher.Calls(id) }, Log: n.log,
	})
	c.publisher = hub.NewPublisher(hub.Options{
		Log: c.replica, Monitor: c.replica, Clock: deck.BootClock{}, MaxLeadershipAge: maxLeadershipAge, Logger: n.log,
		Report: c.orders.RecordReport,
	})
	blame := blamestore.NewStore(blamestore.Options{
		Log: c.replica, Table: c.publisher, Folder: s.DataFolder, Clock: deck.SystemClock{}, Logger: n.log,
	})
	blame.Load()
	blame.HandleCommitted(c.machine.Attachment())
	c.machine.OnAttachment = blame.HandleCommitted
	c.loadConfig()
	c.machine.OnChange = c.handleConfigChange
	c.applyConfig(c.machine.Document())
	store := &routing.Store{
		Log: c.replica, Machine: c.machine, Decoder: platform.RoutingDecoder{}, Forwarder: fleet, Logger: n.log,
	}
	peerMux := http.NewServeMux()
	peer.RegisterReplica(peerMux, c.replica, answers)
	peer.RegisterControlAPI(peerMux, peer.ControlAPI{Views: c.publisher, Joins: c, Places: c.orders, Routing: store, Verdicts: c.publisher})
	peer.RegisterPermits(peerMux, permits)
	ledger := c.newLedger(s)
	peer.RegisterCredit(peerMux, ledger)
	origins, err := newOriginLedger(n, s)
	if err != nil {
		return err
	}
	peer.RegisterStreamOrigins(peerMux, origins)
	operatorMux := http.NewServeMux()
	platform.RegisterOperator(operatorMux, store)
	platform.RegisterVerdicts(operatorMux, peer.ForwardingVerdicts{Local: c.publisher, Forwarder: fleet})
	return errors.Join(
		n.kernel.Add("replica", c.replica),
		n.kernel.Add("configuration-file", part.NewRunner(c.saveConfigs)),
		n.kernel.Add("crash-verdicts", blame),
		n.kernel.Add("disk-watch", part.NewRunner(c.watchDisk)),
		n.kernel.Add("steward", join.NewMembershipController(join.MembershipController{
			Membership: c.replica, Monitor: c.replica, Clock: deck.BootClock{}, WantedVoters: 2*s.ToleratedLosses + 1, Log: n.log,
		})),
		n.kernel.Add("joiner", join.NewJoiner(join.Joiner{
			Log: c.replica, Transport: fleet, Seeds: n.seeds, Clock: deck.BootClock{}, Logger: n.log,
		})),
		n.kernel.Add("orders", c.orders),
		n.kernel.Add("allowances", part.NewRunner(ledger.Run)),
		n.kernel.Add("stream-origins", part.NewRunner(origins.Run)),
		c.addConfirmer(s),
		n.listenLimited("peers-listener", s.PeersListenAddress(), part.TrimHeaders(peerMux), part.PeersShare),
		n.listenLimited("operators-listener", s.Listen.Operators, operatorMux, part.OperatorsShare),
	)
}

// addConfirmer adds the part that confirms the configuration to entry VMs, where a bound on revocation needs it.
func (c *controlVM) addConfirmer(s settings.Settings) error {
	if s.Bounds.Revocation <= 0 {
		return nil
	}
	confirmer := hub.Confirmer{
		Log: c.replica, Clock: deck.BootClock{}, Publisher: c.publisher,
		Version: func() uint64 { return c.machine.Document().Version },
	}
	return c.node.kernel.Add("confirmer", part.NewRunner(confirmer.Run))
}

func (c *controlVM) openReplica(s settings.Settings, client *http.Client, answers *peer.ReplicaAnswers) error {
	store, err := part.OpenLog(
		filepath.Join(s.DataFolder, "log"), disk.Options{Deployment: deploymentName, VM: s.PeerName()}, c.node.log,
	)
	if err != nil {
		return err
	}
	c.machine = &routing.Machine{}
	transport := &peer.ReplicaClient{Address: peerAddress, Client: client, Answers: answers}
	c.replica, err = replica.NewNode(replica.Options{
		Config:    replica.Config{Deployment: deploymentName, Founders: founders(s), Rand: part.NewSource()},
		Storage:   store,
		Transport: transport,
		Machine:   c.machine,
		Clock:     deck.BootClock{},
		Log:       c.node.log,
	})
	if err != nil {
		return errors.CombineErrors(err, store.Close())
	}
	transport.Receiver = c.replica
	return nil
}

// peerAddress returns the address of a control VM, which is its name.
func peerAddress(vm deck.VMName) (string, bool) {
	return string(vm), vm != ""
}

// founders returns the VMs that bootstrap the replicated log: the seeds at the first start of the whole system, otherwise
// none.
func founders(s settings.Settings) []deck.VMName {
	if !s.FirstStart {
		return nil
	}
	return s.SeedNames()
}

func (c *controlVM) leader() (deck.VMName, bool) {
	id := c.replica.Status().Leader
	return id.VM, !id.IsZero()
}

// loadConfig applies the configuration that was in force before a restart. Entry VMs that start at the same time use it to
// serve calls until the log has a leader.
func (c *controlVM) loadConfig() {
	data, ok, err := c.configFile.Load()
	if err != nil {
		c.node.log.Error(err, "failed to read the saved routing configuration; waiting for the replicated log")
		return
	}
	if !ok {
		return
	}
	doc, err := routing.Decode(data)
	if err != nil {
		c.node.log.Error(err, "failed to decode the saved routing configuration; waiting for the replicated log")
		return
	}
	c.applyConfig(doc)
}

// handleConfigChange applies a document that the log has committed and queues it to be saved.
func (c *controlVM) handleConfigChange(doc deck.RoutingDocument) {
	c.applyConfig(doc)
	select {
	case <-c.configsToSave: // replaces an older document
	default:
	}
	c.configsToSave <- doc // never blocks: only the loop of the log sends
}

// saveConfigs writes the newest configuration to disk after each change until ctx ends. What could not be written is written again, since
// a restarted VM would hand out an older configuration.
func (c *controlVM) saveConfigs(ctx context.Context) error {
	var unsaved deck.RoutingDocument // zero if there is none
	var failed uint64                // the version whose failure is logged
	var retry <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case unsaved = <-c.configsToSave:
		case <-retry:
		}
		retry = nil
		data, err := routing.Encode(unsaved)
		if err == nil {
			err = c.configFile.Save(data)
		}
		if err != nil {
			retry = time.After(configSaveRetryInterval)
		}
		if err != nil && failed != unsaved.Version {
			failed = unsaved.Version
			c.node.log.Error(err, "failed to save the routing configuration to its file; retrying", "version", unsaved.Version)
		}
	}
}

// applyConfig decodes a document, puts it in force and publishes it to entry VMs.
func (c *controlVM) applyConfig(doc deck.RoutingDocument) {
	if doc.Version == 0 {
		return
	}
	cfg, err := platform.RoutingDecoder{}.DecodeRouting(doc.Body)
	if err != nil {
		c.node.log.Error(err, "failed to decode the routing configuration from the replicated log", "version", doc.Version)
		return
	}
	c.config.Store(cfg)
	c.publisher.SetConfig(doc)
	c.node.log.Info("routing configuration in force", "version", doc.Version, "routes", len(cfg.Routes))
}

// Join implements peer.JoinHandler.Join.
func (c *controlVM) Join(ctx context.Context, id deck.ReplicaID) error {
	s := c.replica.Status()
	if s.Leader != s.Self || s.Self.IsZero() {
		return deck.NotLeaderError{Leader: s.Leader}
	}
	err := join.Join(ctx, c.replica, s, id)
	c.node.log.Info("handled join request", "replica", id.String(), "error", deck.ErrorText(err))
	return err
}

// errDiskFailed stops the process, which the platform restarts.
var errDiskFailed = errors.New("the replica's disk has failed")

// watchDisk returns an error, which stops the process, when the replica no longer takes part in the replicated log: only a
// restart can determine what the disk holds.
func (c *controlVM) watchDisk(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	deck.Every(ctx, diskCheckInterval, func(context.Context) {
		if reason := c.replica.Status().FailureReason; reason != "" {
			cancel(errors.Wrap(errDiskFailed, reason))
		}
	})
	if err := context.Cause(ctx); errors.Is(err, errDiskFailed) {
		return err
	}
	return nil
}
