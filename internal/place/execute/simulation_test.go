package execute

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/place/memory"
	"github.com/geraniumdeck/geraniumdeck/internal/place/plan"
)

// A simulation is a data centre in virtual time. Its network delivers a message only when the test calls for it.
type simulation struct {
	now         time.Time
	state       deck.State
	fakes       map[deck.BackendName]*fakeEngine
	controller  *Controller
	token       uint64
	loads       int
	leaving     map[deck.BackendName]bool
	demand      map[deck.ModelName]plan.Rates
	ops         []sentOperation
	reports     []reportRequest
	restartedAt map[deck.ModelName]time.Time // last restart of an engine that held the model
	addedAt     map[deck.ModelName]time.Time // when a ticket last added the model
	violations  []string
}

// A sentOperation is an operation in flight. It may be delivered more than once until its lifetime ends.
type sentOperation struct {
	to     deck.BackendName
	op     deck.Operation
	sentAt time.Time
	sender *Controller
}

// A reportRequest is a report request in flight, with the engine's answer once it exists.
type reportRequest struct {
	to          deck.BackendName
	requestedAt time.Time
	answer      *deck.EngineReport // nil until the engine has answered
	sender      *Controller
}

func newSimulation(state deck.State) *simulation {
	sim := &simulation{
		now:         time.Unix(1000, 0),
		state:       state,
		fakes:       make(map[deck.BackendName]*fakeEngine),
		token:       1,
		loads:       3,
		restartedAt: make(map[deck.ModelName]time.Time),
		addedAt:     make(map[deck.ModelName]time.Time),
		controller:  NewController("dc"),
	}
	for _, b := range state.BackendServers() {
		sim.fakes[b.Name] = newFakeEngine(b, func() time.Time { return sim.now })
	}
	return sim
}

// advance moves the clock forward and runs one step of the current leader.
func (sim *simulation) advance(d time.Duration) {
	sim.now = sim.now.Add(d)
	out := sim.controller.Step(Input{
		Now:              sim.now,
		Lease:            deck.PlacementLease{DataCentre: "dc", Holder: "vm", FencingToken: sim.token, Expires: sim.now.Add(time.Hour)},
		Held:             true,
		State:            sim.state,
		Leaving:          sim.leaving,
		LoadLimit:        sim.loads,
		AdapterLoadLimit: 4,
		Demand:           sim.demand,
	})
	for _, s := range out.Sends {
		sim.ops = append(sim.ops, sentOperation{to: s.Backend.Name, op: s.Operation, sentAt: sim.now, sender: sim.controller})
	}
	for _, b := range out.Reports {
		sim.reports = append(sim.reports, reportRequest{to: b.Name, requestedAt: sim.now, sender: sim.controller})
	}
	sim.ops = slices.DeleteFunc(sim.ops, func(o sentOperation) bool { return sim.now.Sub(o.sentAt) > memory.OperationLifetime })
	sim.checkMemory()
}

// deliverOperation runs an operation on its engine. The sender gets the result if answered is true, and the operation stays
// in flight if again is true.
func (sim *simulation) deliverOperation(i int, answered, again bool) {
	o := sim.ops[i]
	if !again {
		sim.ops = slices.Delete(sim.ops, i, i+1)
	}
	before := sim.readyReplicas(o.op.Model)
	r := sim.fakes[o.to].run(o.op)
	if o.op.Kind == deck.OpUnloadModel {
		sim.checkLastReplica(o, before)
	}
	if answered && o.sender == sim.controller {
		sim.controller.RecordResult(o.to, o.op, r, sim.now)
	}
	sim.checkMemory()
}

func (sim *simulation) loseOperation(i int) {
	o := sim.ops[i]
	sim.ops = slices.Delete(sim.ops, i, i+1)
	if o.sender == sim.controller {
		sim.controller.RecordResult(o.to, o.op, deck.OperationResult{Outcome: deck.OutcomeUnknown}, sim.now)
	}
}

// answerReport makes the engine answer a request unless it has answered before, and delivers the answer if deliver is true.
func (sim *simulation) answerReport(i int, deliver bool) {
	req := &sim.reports[i]
	if req.answer == nil {
		r := sim.fakes[req.to].report()
		req.answer = &r
	}
	if !deliver {
		return
	}
	answered := *req
	sim.reports = slices.Delete(sim.reports, i, i+1)
	if answered.sender == sim.controller {
		sim.controller.RecordReport(answered.to, *answered.answer, answered.requestedAt)
	}
}

func (sim *simulation) loseReport(i int) {
	req := sim.reports[i]
	sim.reports = slices.Delete(sim.reports, i, i+1)
	if req.sender == sim.controller {
		sim.controller.RecordReportFailure(req.to)
	}
}

// run steps the leader for the duration and delivers every message.
func (sim *simulation) run(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.advance(250 * time.Millisecond)
		sim.deliverAll()
	}
}

// runCurrentLeader is like run but holds back the messages of earlier leaders.
func (sim *simulation) runCurrentLeader(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.advance(250 * time.Millisecond)
		for i := len(sim.ops) - 1; i >= 0; i-- {
			if sim.ops[i].sender == sim.controller {
				sim.deliverOperation(i, true, false)
			}
		}
		for i := len(sim.reports) - 1; i >= 0; i-- {
			if sim.reports[i].sender == sim.controller {
				sim.answerReport(i, true)
			}
		}
	}
}

// runReportsOnly runs for a number of quarters of a second and delivers reports but no operations.
func (sim *simulation) runReportsOnly(quarters int) {
	for range quarters {
		sim.advance(250 * time.Millisecond)
		for len(sim.reports) > 0 {
			sim.answerReport(0, true)
		}
	}
}

func (sim *simulation) deliverAll() {
	for len(sim.ops) > 0 {
		sim.deliverOperation(0, true, false)
	}
	for len(sim.reports) > 0 {
		sim.answerReport(0, true)
	}
}

// replaceLeader replaces the leader by a new one; operations of the old leader stay in flight.
func (sim *simulation) replaceLeader() {
	sim.token++
	sim.controller = NewController("dc")
}

func (sim *simulation) restart(b deck.BackendName) {
	f := sim.fakes[b]
	for k := range f.models {
		sim.restartedAt[deck.ModelName(k[0])] = sim.now
	}
	f.restart()
}

// apply puts a ticket in force if the resulting state is feasible with spare memory.
func (sim *simulation) apply(t deck.Ticket) bool {
	next := sim.state.WithTicket(t, sim.state.Version()+1)
	if plan.CheckSpare(next) != nil {
		return false
	}
	for _, m := range t.Models {
		if _, ok := sim.state.Model(m.Name); !ok {
			sim.addedAt[m.Name] = sim.now
		}
	}
	sim.state = next
	return true
}

func (sim *simulation) readyReplicas(m deck.ModelName) int {
	n := 0
	for _, f := range sim.fakes {
		for k, v := range f.models {
			if k[0] == string(m) && !sim.now.Before(v.readyAt) {
				n++
			}
		}
	}
	return n
}

// checkLastReplica records a violation if an unload removed the last ready replica of a model. It tolerates a restart that
// removes the other replica after the unload was decided, and a ticket that adds the model again while its unload is in
// flight.
func (sim *simulation) checkLastReplica(o sentOperation, before int) {
	at, restarted := sim.restartedAt[o.op.Model]
	if !sim.addedAt[o.op.Model].Before(o.sentAt) {
		return
	}
	if _, listed := sim.state.Model(o.op.Model); !listed || restarted && sim.now.Sub(at) < time.Minute {
		return
	}
	if before > 0 && sim.readyReplicas(o.op.Model) == 0 {
		sim.violations = append(sim.violations, fmt.Sprintf("%s on %s removed the last ready replica of %s", o.op.ID, o.to, o.op.Model))
	}
}

// checkMemory records a violation for each engine that uses more than its memory.
func (sim *simulation) checkMemory() {
	for _, f := range sim.fakes {
		if used := f.used(); used > f.backend.MemoryBytes() {
			sim.violations = append(sim.violations, fmt.Sprintf("%s uses %d of %d bytes", f.backend.Name, used, f.backend.MemoryBytes()))
		}
	}
}

// withoutReadyReplica returns the models of the state in force without a ready replica of their active version.
func (sim *simulation) withoutReadyReplica() []deck.ModelName {
	var out []deck.ModelName
	for _, m := range sim.state.Models() {
		t, _ := sim.controller.Residency()
		ready := slices.ContainsFunc(t.Replicas(m.Name), func(r deck.ModelReplica) bool { return r.Ready && r.Version == m.Active })
		if !ready {
			out = append(out, m.Name)
		}
	}
	return out
}

// describe lists the items and the target of each engine.
func (sim *simulation) describe() string {
	var out strings.Builder
	for _, e := range sim.controller.sortedEngines() {
		f := sim.fakes[e.backend.Name]
		fmt.Fprintf(&out, "%s taken over %v free %d of %d GiB, fake uses %d, target %v\n", e.backend.Name, e.ledger.TakenOver(),
			e.ledger.FreeBytes()/deck.GiB, e.backend.MemoryBytes()/deck.GiB, f.used()/deck.GiB,
			sim.controller.target.Models(e.backend.Name))
		for _, it := range e.ledger.Items() {
			m, _ := sim.state.Model(it.Model)
			_, ready := e.ledger.Holds(it)
			fmt.Fprintf(&out, "  %v ready %v busy %v active %v retiring %v\n", it, ready, e.ledger.Busy(it), m.Active,
				sim.controller.retiring[itemKey{e.backend.Name, it}])
		}
	}
	return out.String()
}
