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

// A simulation is a data centre in virtual time whose network delivers a message only when the test says so.
type simulation struct {
	now         time.Time
	state       deck.State
	fakes       map[deck.BackendName]*fakeEngine
	ctl         *Controller
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

// A sentOperation is an operation on its way; it may arrive until its lifetime is over, and again after it arrived.
type sentOperation struct {
	to     deck.BackendName
	op     deck.Operation
	sentAt time.Time
	sender *Controller
}

// A reportRequest is a report request, and its answer once the engine has given it.
type reportRequest struct {
	to          deck.BackendName
	requestedAt time.Time
	answer      *deck.EngineReport
	by          *Controller
}

func newSimulation(state deck.State) *simulation {
	w := &simulation{
		now:         time.Unix(1000, 0),
		state:       state,
		fakes:       make(map[deck.BackendName]*fakeEngine),
		token:       1,
		loads:       3,
		restartedAt: make(map[deck.ModelName]time.Time),
		addedAt:     make(map[deck.ModelName]time.Time),
		ctl:         NewController("dc"),
	}
	for _, b := range state.BackendServers() {
		w.fakes[b.Name] = newFakeEngine(b, func() time.Time { return w.now })
	}
	return w
}

// advance moves time and lets the leader decide.
func (w *simulation) advance(d time.Duration) {
	w.now = w.now.Add(d)
	out := w.ctl.Step(Input{
		Now:      w.now,
		Lease:    deck.PlacementLease{DataCentre: "dc", Holder: "vm", FencingToken: w.token, Expires: w.now.Add(time.Hour)},
		Held:     true,
		State:    w.state,
		Leaving:  w.leaving,
		Loads:    w.loads,
		Adapters: 4,
		Demand:   w.demand,
	})
	for _, s := range out.Sends {
		w.ops = append(w.ops, sentOperation{to: s.Backend.Name, op: s.Operation, sentAt: w.now, sender: w.ctl})
	}
	for _, b := range out.Reports {
		w.reports = append(w.reports, reportRequest{to: b.Name, requestedAt: w.now, by: w.ctl})
	}
	w.ops = slices.DeleteFunc(w.ops, func(f sentOperation) bool { return w.now.Sub(f.sentAt) > memory.OperationLifetime })
	w.checkMemory()
}

// deliverOperation runs an operation at its engine; the sender learns of it unless the answer is lost.
func (w *simulation) deliverOperation(i int, answered, again bool) {
	f := w.ops[i]
	if !again {
		w.ops = slices.Delete(w.ops, i, i+1)
	}
	before := w.readyReplicas(f.op.Model)
	r := w.fakes[f.to].run(f.op)
	if f.op.Kind == deck.OpUnloadModel {
		w.checkLastReplica(f, before)
	}
	if answered && f.sender == w.ctl {
		w.ctl.Result(f.to, f.op, r, w.now)
	}
	w.checkMemory()
}

func (w *simulation) loseOperation(i int) {
	f := w.ops[i]
	w.ops = slices.Delete(w.ops, i, i+1)
	if f.sender == w.ctl {
		w.ctl.Result(f.to, f.op, deck.OperationResult{Outcome: deck.OutcomeUnknown}, w.now)
	}
}

// answerReport lets the engine answer a request, or delivers an answer given before.
func (w *simulation) answerReport(i int, deliver bool) {
	f := &w.reports[i]
	if f.answer == nil {
		r := w.fakes[f.to].report()
		f.answer = &r
	}
	if !deliver {
		return
	}
	done := *f
	w.reports = slices.Delete(w.reports, i, i+1)
	if done.by == w.ctl {
		w.ctl.Report(done.to, *done.answer, done.requestedAt)
	}
}

func (w *simulation) loseReport(i int) {
	f := w.reports[i]
	w.reports = slices.Delete(w.reports, i, i+1)
	if f.by == w.ctl {
		w.ctl.ReportFailed(f.to)
	}
}

// run lets the data centre work without faults.
func (w *simulation) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.advance(250 * time.Millisecond)
		w.deliverAll()
	}
}

// runCurrentLeader is run with the messages of earlier leaders held back.
func (w *simulation) runCurrentLeader(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.advance(250 * time.Millisecond)
		for i := len(w.ops) - 1; i >= 0; i-- {
			if w.ops[i].sender == w.ctl {
				w.deliverOperation(i, true, false)
			}
		}
		for i := len(w.reports) - 1; i >= 0; i-- {
			if w.reports[i].by == w.ctl {
				w.answerReport(i, true)
			}
		}
	}
}

// runReportsOnly holds every operation back for some quarters of a second.
func (w *simulation) runReportsOnly(quarters int) {
	for range quarters {
		w.advance(250 * time.Millisecond)
		for len(w.reports) > 0 {
			w.answerReport(0, true)
		}
	}
}

func (w *simulation) deliverAll() {
	for len(w.ops) > 0 {
		w.deliverOperation(0, true, false)
	}
	for len(w.reports) > 0 {
		w.answerReport(0, true)
	}
}

// replaceLeader lets another VM take over; operations of the old leader stay on their way.
func (w *simulation) replaceLeader() {
	w.token++
	w.ctl = NewController("dc")
}

func (w *simulation) restart(b deck.BackendName) {
	f := w.fakes[b]
	for k := range f.models {
		w.restartedAt[deck.ModelName(k[0])] = w.now
	}
	f.restart()
}

// apply puts a ticket in force if it is feasible and leaves a spare place.
func (w *simulation) apply(t deck.Ticket) bool {
	next := w.state.WithTicket(t, w.state.Version()+1)
	if plan.CheckSpare(next) != nil {
		return false
	}
	for _, m := range t.Models {
		if _, ok := w.state.Model(m.Name); !ok {
			w.addedAt[m.Name] = w.now
		}
	}
	w.state = next
	return true
}

func (w *simulation) readyReplicas(m deck.ModelName) int {
	n := 0
	for _, f := range w.fakes {
		for k, v := range f.models {
			if k[0] == string(m) && !w.now.Before(v.readyAt) {
				n++
			}
		}
	}
	return n
}

// checkLastReplica notes an unload that took a model's last place. A restart may take the other place after the unload was
// decided, and a ticket may add a model again while its unload is on its way.
func (w *simulation) checkLastReplica(f sentOperation, before int) {
	at, restarted := w.restartedAt[f.op.Model]
	if !w.addedAt[f.op.Model].Before(f.sentAt) {
		return
	}
	if _, listed := w.state.Model(f.op.Model); !listed || restarted && w.now.Sub(at) < time.Minute {
		return
	}
	if before > 0 && w.readyReplicas(f.op.Model) == 0 {
		w.violations = append(w.violations, fmt.Sprintf("%s on %s took the last place of %s", f.op.ID, f.to, f.op.Model))
	}
}

// checkMemory adds up the memory of each engine.
func (w *simulation) checkMemory() {
	for _, f := range w.fakes {
		if used := f.used(); used > f.backend.MemoryBytes() {
			w.violations = append(w.violations, fmt.Sprintf("%s uses %d of %d bytes", f.backend.Name, used, f.backend.MemoryBytes()))
		}
	}
}

// unplaced returns the models of the state in force without a ready replica of their active version.
func (w *simulation) unplaced() []deck.ModelName {
	var out []deck.ModelName
	for _, m := range w.state.Models() {
		t, _ := w.ctl.Residency()
		ready := slices.ContainsFunc(t.Replicas(m.Name), func(r deck.Replica) bool { return r.Ready && r.Version == m.Active })
		if !ready {
			out = append(out, m.Name)
		}
	}
	return out
}

// describe lists what each engine holds and is to hold.
func (w *simulation) describe() string {
	var out strings.Builder
	for _, e := range w.ctl.sortedEngines() {
		f := w.fakes[e.backend.Name]
		fmt.Fprintf(&out, "%s ready %v free %d of %d GiB, fake uses %d, target %v\n", e.backend.Name, e.ledger.Ready(),
			e.ledger.Free()/deck.GiB, e.backend.MemoryBytes()/deck.GiB, f.used()/deck.GiB, w.ctl.target.Models(e.backend.Name))
		for _, it := range e.ledger.Items() {
			m, _ := w.state.Model(it.Model)
			_, ready := e.ledger.Holds(it)
			fmt.Fprintf(&out, "  %v ready %v busy %v active %v retiring %v\n", it, ready, e.ledger.Busy(it), m.Active,
				w.ctl.retiring[itemKey{e.backend.Name, it}])
		}
	}
	return out.String()
}
