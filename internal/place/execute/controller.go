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

// Pace of reports and steps.
const (
	minReportInterval = time.Second
	// maxClockDifference is the largest difference of wall clocks. An operation's not-after time is that much earlier than the
	// end of its lifetime, so that an engine whose clock is late does not start it afterwards.
	maxClockDifference = 3 * time.Second
	// reportsPerSecond bounds what the leader receives in reports of about 0.5 KB.
	reportsPerSecond = 6
	// retireDelay lets entry VMs learn that a replica goes before it is unloaded.
	retireDelay = 3 * time.Second
	// evictionCooldown keeps the planner from loading a replica again while its memory is needed for another model.
	evictionCooldown = time.Minute
	// replanInterval bounds the planner's share of a core.
	replanInterval = time.Second
	// retryDelay spaces the attempts of a refused step.
	retryDelay = time.Second
)

// A Controller decides which operations leave next; it is a pure state machine driven by its caller's time.
type Controller struct {
	lifetime        time.Duration // of an operation
	dc              deck.DataCentre
	lease           deck.PlacementLease
	takenOverAt     time.Time
	state           deck.State
	homes           plan.Homes
	stateApplied    bool // homes and adapters belong to state
	adapters        map[deck.ModelName][]deck.Adapter
	target          plan.Target
	plannedVersion  uint64 // state version of the target + 1; 0 if there is none
	plannedAt       time.Time
	servingReplicas map[memory.Item]int // reported replicas that stay, by version and by model
	engines         map[deck.BackendName]*engine
	sequence        uint64
	retiring        map[itemKey]time.Time // since when a replica is no longer offered to requests
	evictions       map[itemKey]time.Time // replicas that make room for a model without a place
	waitingLoads    int                   // loads that the share of the weight store held back in the last step
	residency       deck.ResidencyTable
	tableNumber     uint64
	now             time.Time
	input           Input
}

// A itemKey is an item on a backend server.
type itemKey struct {
	backend deck.BackendName
	item    memory.Item
}

// An engine is what the controller knows about one engine of its data centre.
type engine struct {
	backend       deck.BackendServer
	ledger        *memory.Ledger
	reportPending bool
	nextReportAt  time.Time // earliest time of the next report request
	nextFenceAt   time.Time // earliest time of the next fence
	refusedAt     map[memory.Item]time.Time
	leaving       bool
}

// An Input is what a step depends on beside the controller's own state.
type Input struct {
	Now      time.Time
	Lease    deck.PlacementLease
	Held     bool
	State    deck.State
	Leaving  map[deck.BackendName]bool // from the platform's list
	Loads    int                       // model loads that may be in flight by the data centre's share
	Demand   map[deck.ModelName]plan.Rates
	Rate     float64 // tokens per second of one accelerator; 0 stands for plan.DefaultTokensPerSecond
	Adapters int     // adapter loads that may be in flight by the data centre's share
}

// A Send is an operation whose memory is reserved and that is to be sent to the backend server.
type Send struct {
	Backend   deck.BackendServer
	Operation deck.Operation
}

// An Output lists what the caller must send now.
type Output struct {
	Sends   []Send
	Reports []deck.BackendServer
}

// NewController returns a controller of the data centre's engines that holds no lease.
func NewController(dc deck.DataCentre) *Controller {
	return &Controller{
		dc:        dc,
		lifetime:  memory.OperationLifetime,
		engines:   make(map[deck.BackendName]*engine),
		retiring:  make(map[itemKey]time.Time),
		evictions: make(map[itemKey]time.Time),
	}
}

// SetLifetime replaces the bound on how late an operation may arrive; it is called before the first step.
func (c *Controller) SetLifetime(d time.Duration) {
	c.lifetime = d
}

// Step returns the operations and report requests that are due.
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
	if c.takeoverComplete() {
		c.updateTarget()
		c.advance(&out)
	}
	c.requestReports(&out)
	return out
}

// takeover starts with empty ledgers under every new token, because outstanding operations of earlier tokens are
// unknown.
func (c *Controller) takeover(l deck.PlacementLease) {
	if l.FencingToken == c.lease.FencingToken && l.Holder == c.lease.Holder {
		c.lease = l
		return
	}
	c.lease = l
	c.takenOverAt = c.now
	c.sequence = 0
	c.tableNumber = 0
	c.plannedVersion = 0
	clear(c.engines)
	clear(c.retiring)
	clear(c.evictions)
}

func (c *Controller) applyState(s deck.State) {
	if c.stateApplied && s.Version() == c.state.Version() {
		return
	}
	c.state = s
	if h, err := plan.Assign(s); err == nil {
		c.homes = h
	}
	c.adapters = make(map[deck.ModelName][]deck.Adapter)
	for _, a := range s.Adapters() {
		c.adapters[a.Model] = append(c.adapters[a.Model], a)
	}
	c.stateApplied = true
}

// updateEngines follows the engines that the state gives to the data centre.
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
				ledger:    memory.NewLedger(b, c.lease.FencingToken, c.now, c.lifetime),
				refusedAt: make(map[memory.Item]time.Time),
			}
			c.engines[b.Name] = e
		}
		e.backend = b
		e.leaving = b.Leaving || c.input.Leaving[b.Name]
		e.ledger.SetCapacity(b.MemoryBytes())
	}
	maps.DeleteFunc(c.engines, func(name deck.BackendName, _ *engine) bool { return !listed[name] })
}

// takeoverComplete reports whether every engine was taken over, or has had the time to answer.
func (c *Controller) takeoverComplete() bool {
	if c.now.Sub(c.takenOverAt) >= c.lifetime+retireDelay {
		return true
	}
	for _, e := range c.engines {
		if !e.ledger.Ready() {
			return false
		}
	}
	return true
}

// sendFences sends the fencing token to engines that have not confirmed it.
func (c *Controller) sendFences(out *Output) {
	for _, e := range c.sortedEngines() {
		if e.ledger.Ready() || !e.backend.ChecksFencing || c.now.Before(e.nextFenceAt) {
			continue
		}
		e.nextFenceAt = c.now.Add(retryDelay)
		c.send(out, e, deck.Operation{Kind: deck.OpFence})
	}
}

func (c *Controller) requestReports(out *Output) {
	pace := max(minReportInterval, time.Duration(len(c.engines))*time.Second/reportsPerSecond)
	for _, e := range c.sortedEngines() {
		if e.reportPending || c.now.Before(e.nextReportAt) {
			continue
		}
		next := pace
		if e.ledger.Outstanding() > 0 || !e.ledger.Ready() {
			next = minReportInterval
		}
		e.reportPending = true
		e.nextReportAt = c.now.Add(next)
		out.Reports = append(out.Reports, e.backend)
	}
}

// send reserves the operation's memory and adds it to the output; it returns false if the ledger refuses.
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

// Result records what became of an operation.
func (c *Controller) Result(b deck.BackendName, op deck.Operation, r deck.OperationResult, now time.Time) {
	e, ok := c.engines[b]
	if !ok || op.FencingToken != c.lease.FencingToken {
		return
	}
	e.ledger.Settle(op.ID, r, now)
	if r.Outcome == deck.OutcomeNotRun {
		e.refusedAt[memory.ItemOf(op)] = now
	}
}

// Report counts a report that was requested at the given time.
func (c *Controller) Report(b deck.BackendName, r deck.EngineReport, requestedAt time.Time) {
	e, ok := c.engines[b]
	if !ok {
		return
	}
	e.reportPending = false
	e.ledger.Observe(r, requestedAt, c.declaredSize)
}

// RecordReportFailure records that a report request had no answer.
func (c *Controller) RecordReportFailure(b deck.BackendName) {
	if e, ok := c.engines[b]; ok {
		e.reportPending = false
	}
}

// declaredSize returns the memory that the state in force declares for an item.
func (c *Controller) declaredSize(it memory.Item) deck.Bytes {
	if it.Adapter != "" {
		a, _ := c.state.Adapter(it.Adapter)
		return a.Bytes
	}
	m, _ := c.state.Model(it.Model)
	v, _ := m.Version(it.Version)
	return v.ResidentBytes()
}

// sortedEngines returns the engines sortedEngines by name, so that equal inputs give equal outputs.
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
