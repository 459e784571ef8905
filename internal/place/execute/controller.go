package execute

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/place/memory"
	"github.com/geraniumdeck/geraniumdeck/internal/place/plan"
)

// Intervals, delays and rates of the controller.
const (
	minReportInterval = time.Second
	// maxClockDifference bounds the difference between wall clocks. An operation's not-after time precedes the end of its
	// lifetime by this much, or by half the lifetime if that is less. An engine whose clock is behind by no more than this
	// margin does not start the operation after its lifetime.
	maxClockDifference = 3 * time.Second
	// reportsPerSecond bounds the traffic of engine reports, which are about 0.5 KB each.
	reportsPerSecond = 6
	// retireDelay is the time between the withdrawal of a replica and its unload, in which entry VMs stop sending requests
	// to it.
	retireDelay = 3 * time.Second
	// evictionCooldown is the time for which an evicted replica is not loaded again on the same engine, while its memory is
	// needed for another model.
	evictionCooldown = time.Minute
	// replanInterval bounds the CPU time spent on planning.
	replanInterval = time.Second
	// retryDelay is the time between two attempts of an operation that was not run.
	retryDelay = time.Second
)

// A Controller decides which operations to send next. It is a state machine without I/O or a clock of its own; the caller
// supplies the time.
type Controller struct {
	lifetime        time.Duration // of an operation
	dc              deck.DataCentre
	lease           deck.PlacementLease
	takeoverStart   time.Time
	state           deck.State
	homes           plan.Homes
	stateApplied    bool // whether homes and adapters are derived from state
	adapters        map[deck.ModelName][]deck.Adapter
	target          plan.Target
	plannedVersion  uint64 // state version of the target plus 1; 0 if there is no target
	plannedAt       time.Time
	servingReplicas map[memory.Item]int // replicas that serve on engines that are not leaving, by version and by model
	engines         map[deck.BackendName]*engine
	sequence        uint64                // of the last operation under the fencing token
	retiring        map[itemKey]time.Time // when each replica was withdrawn from routing before its unload
	evictions       map[itemKey]time.Time // when each replica was marked to make room for a model without a replica
	waitingLoads    int                   // model loads held back by Input.LoadLimit in the last step
	residency       deck.ResidencyTable
	tableNumber     uint64 // of the last residency table under the fencing token
	now             time.Time
	input           Input
}

// An itemKey identifies an item on a backend server.
type itemKey struct {
	backend deck.BackendName
	item    memory.Item
}

// An engine is the controller's record of one engine of its data centre.
type engine struct {
	backend       deck.BackendServer
	ledger        *memory.Ledger
	reportPending bool
	nextReportAt  time.Time                 // earliest time of the next report request
	nextFenceAt   time.Time                 // earliest time of the next fence operation
	notRunAt      map[memory.Item]time.Time // when an operation on the item was last known not to have run; delays its next load
	leaving       bool
}

// An Input holds what a step depends on in addition to the controller's own state.
type Input struct {
	Now              time.Time
	Lease            deck.PlacementLease
	Held             bool
	State            deck.State
	Leaving          map[deck.BackendName]bool // marked as leaving in the platform's VM list
	LoadLimit        int                       // model loads that may be in flight
	Demand           map[deck.ModelName]plan.Rates
	TokensPerSecond  float64 // of one accelerator; 0 for plan.DefaultTokensPerSecond
	AdapterLoadLimit int     // adapter loads that may be in flight
}

// A Send is an operation to be sent to a backend server; its memory is reserved already.
type Send struct {
	Backend   deck.BackendServer
	Operation deck.Operation
}

// An Output lists the operations and report requests that the caller must send.
type Output struct {
	Sends   []Send
	Reports []deck.BackendServer
}

// NewController returns a controller for the engines of the data centre.
func NewController(dc deck.DataCentre) *Controller {
	return &Controller{
		dc:        dc,
		lifetime:  memory.OperationLifetime,
		engines:   make(map[deck.BackendName]*engine),
		retiring:  make(map[itemKey]time.Time),
		evictions: make(map[itemKey]time.Time),
	}
}

// SetLifetime sets the bound on how late an operation may arrive. It must be called before the first step.
func (c *Controller) SetLifetime(d time.Duration) {
	c.lifetime = d
}

// Step returns the operations and report requests that are due. Without the lease it forgets all engines and returns none.
func (c *Controller) Step(input Input) Output {
	c.now, c.input = input.Now, input
	if !input.Held {
		c.lease = deck.PlacementLease{}
		clear(c.engines)
		clear(c.retiring)
		clear(c.evictions)
		return Output{}
	}
	c.takeover(input.Lease)
	c.applyState(input.State)
	c.updateEngines()
	var out Output
	c.sendFences(&out)
	if c.takeoverEnded() {
		c.updateTarget()
		c.advance(&out)
	}
	c.requestReports(&out)
	return out
}

// takeover resets the controller under a new fencing token. It starts with empty ledgers because the outstanding
// operations of earlier tokens are unknown.
func (c *Controller) takeover(l deck.PlacementLease) {
	if l.FencingToken == c.lease.FencingToken && l.Holder == c.lease.Holder {
		c.lease = l
		return
	}
	c.lease = l
	c.takeoverStart = c.now
	c.sequence = 0
	c.tableNumber = 0
	c.plannedVersion = 0
	clear(c.engines)
	clear(c.retiring)
	clear(c.evictions)
}

// applyState recomputes the homes and the adapters if the state in force changed.
func (c *Controller) applyState(s deck.State) {
	if c.stateApplied && s.Version() == c.state.Version() {
		return
	}
	c.state = s
	if h, err := plan.AssignHomes(s); err == nil {
		c.homes = h
	}
	c.adapters = make(map[deck.ModelName][]deck.Adapter)
	for _, a := range s.Adapters() {
		c.adapters[a.Model] = append(c.adapters[a.Model], a)
	}
	c.stateApplied = true
}

// updateEngines adds, updates and removes engines to match the state in force. An engine whose address or fencing check
// changes gets a new ledger.
func (c *Controller) updateEngines() {
	listed := make(map[deck.BackendName]bool)
	for _, b := range c.state.BackendServers() {
		if b.Kind != deck.EngineBackend || b.DataCentre != c.dc {
			continue
		}
		listed[b.Name] = true
		e, ok := c.engines[b.Name]
		if !ok || e.backend.Address != b.Address || e.backend.ChecksFencing != b.ChecksFencing {
			e = &engine{
				ledger:   memory.NewLedger(b, c.lease.FencingToken, c.now, c.lifetime),
				notRunAt: make(map[memory.Item]time.Time),
			}
			c.engines[b.Name] = e
		}
		e.backend = b
		e.leaving = b.Leaving || c.input.Leaving[b.Name]
		e.ledger.SetCapacity(b.MemoryBytes())
	}
	maps.DeleteFunc(c.engines, func(name deck.BackendName, _ *engine) bool { return !listed[name] })
}

// takeoverEnded reports whether every engine has been taken over or has had enough time to respond: one operation lifetime,
// after which an engine that does not check fencing tokens can be taken over, and retireDelay.
func (c *Controller) takeoverEnded() bool {
	if c.now.Sub(c.takeoverStart) >= c.lifetime+retireDelay {
		return true
	}
	for _, e := range c.engines {
		if !e.ledger.TakenOver() {
			return false
		}
	}
	return true
}

// sendFences sends the fencing token to engines that check it and have not confirmed it.
func (c *Controller) sendFences(out *Output) {
	for _, e := range c.sortedEngines() {
		if e.ledger.TakenOver() || !e.backend.ChecksFencing || c.now.Before(e.nextFenceAt) {
			continue
		}
		e.nextFenceAt = c.now.Add(retryDelay)
		c.send(out, e, deck.Operation{Kind: deck.OpFence})
	}
}

// requestReports requests the reports that are due, more often from engines with outstanding operations or not yet taken
// over.
func (c *Controller) requestReports(out *Output) {
	pace := max(minReportInterval, time.Duration(len(c.engines))*time.Second/reportsPerSecond)
	for _, e := range c.sortedEngines() {
		if e.reportPending || c.now.Before(e.nextReportAt) {
			continue
		}
		next := pace
		if e.ledger.Outstanding() > 0 || !e.ledger.TakenOver() {
			next = minReportInterval
		}
		e.reportPending = true
		e.nextReportAt = c.now.Add(next)
		out.Reports = append(out.Reports, e.backend)
	}
}

// send reserves the operation's memory and adds the operation to the output. It returns false if the ledger refuses the
// reservation.
func (c *Controller) send(out *Output, e *engine, op deck.Operation) bool {
	op.FencingToken = c.lease.FencingToken
	op.ID = deck.OperationID(fmt.Sprintf("%s-%d-%d", c.dc, c.lease.FencingToken, c.sequence+1))
	op.NotAfter = c.now.Add(max(c.lifetime-maxClockDifference, c.lifetime/2))
	if err := e.ledger.Reserve(op, c.now); err != nil {
		return false
	}
	c.sequence++
	e.nextReportAt = minTime(e.nextReportAt, c.now.Add(minReportInterval))
	out.Sends = append(out.Sends, Send{Backend: e.backend, Operation: op})
	return true
}

// RecordResult records the outcome of an operation.
func (c *Controller) RecordResult(b deck.BackendName, op deck.Operation, r deck.OperationResult, now time.Time) {
	e, ok := c.engines[b]
	if !ok || op.FencingToken != c.lease.FencingToken {
		return
	}
	e.ledger.RecordResult(op.ID, r, now)
	if r.Outcome == deck.OutcomeNotRun {
		e.notRunAt[memory.ItemOf(op)] = now
	}
}

// RecordReport records an engine's report that was requested at the given time.
func (c *Controller) RecordReport(b deck.BackendName, r deck.EngineReport, requestedAt time.Time) {
	e, ok := c.engines[b]
	if !ok {
		return
	}
	e.reportPending = false
	e.ledger.ApplyReport(r, requestedAt, c.declaredSize)
}

// RecordReportFailure records that a report request failed.
func (c *Controller) RecordReportFailure(b deck.BackendName) {
	if e, ok := c.engines[b]; ok {
		e.reportPending = false
	}
}

// declaredSize returns the resident memory that the state in force declares for the item, or 0 if it is not listed.
func (c *Controller) declaredSize(it memory.Item) deck.Bytes {
	if it.Adapter != "" {
		a, _ := c.state.Adapter(it.Adapter)
		return a.Bytes
	}
	m, _ := c.state.Model(it.Model)
	v, _ := m.Version(it.Version)
	return v.ResidentBytes()
}

// sortedEngines returns the engines ordered by name, which makes a step deterministic.
func (c *Controller) sortedEngines() []*engine {
	return slices.SortedFunc(maps.Values(c.engines), func(a, b *engine) int {
		return cmp.Compare(a.backend.Name, b.backend.Name)
	})
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
