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

// A world is a data centre in virtual time whose network delivers a message only when the test says so.
type world struct {
	now      time.Time
	state    deck.State
	fakes    map[deck.BackendName]*fakeEngine
	ctl      *Controller
	token    uint64
	loads    int
	leaving  map[deck.BackendName]bool
	demand   map[deck.ModelName]plan.Rates
	ops      []flight
	reports  []reportFlight
	restarts map[deck.ModelName]time.Time // last restart of an engine that held the model
	added    map[deck.ModelName]time.Time // when a ticket last added the model
	faults   []string
}

// A flight is an operation on its way; it may arrive until its lifetime is over, and again after it arrived.
type flight struct {
	to     deck.BackendName
	op     deck.Operation
	sentAt time.Time
	by     *Controller
}

// A reportFlight is a report request, and its answer once the engine has given it.
type reportFlight struct {
	to          deck.BackendName
	requestedAt time.Time
	answer      *deck.EngineReport
	by          *Controller
}

func newWorld(state deck.State) *world {
	w := &world{
		now:      time.Unix(1000, 0),
		state:    state,
		fakes:    make(map[deck.BackendName]*fakeEngine),
		token:    1,
		loads:    3,
		restarts: make(map[deck.ModelName]time.Time),
		added:    make(map[deck.ModelName]time.Time),
		ctl:      NewController("dc"),
	}
	for _, b := range state.BackendServers() {
		w.fakes[b.Name] = newFakeEngine(b, func() time.Time { return w.now })
	}
	return w
}

// tick moves time and lets the leader decide.
func (w *world) tick(d time.Duration) {
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
		w.ops = append(w.ops, flight{to: s.Backend.Name, op: s.Operation, sentAt: w.now, by: w.ctl})
	}
	for _, b := range out.Reports {
		w.reports = append(w.reports, reportFlight{to: b.Name, requestedAt: w.now, by: w.ctl})
	}
	w.ops = slices.DeleteFunc(w.ops, func(f flight) bool { return w.now.Sub(f.sentAt) > memory.OperationLifetime })
	w.check()
}

// deliver runs an operation at its engine; the sender learns of it unless the answer is lost.
func (w *world) deliver(i int, answered, again bool) {
	f := w.ops[i]
	if !again {
		w.ops = slices.Delete(w.ops, i, i+1)
	}
	before := w.placesOf(f.op.Model)
	r := w.fakes[f.to].run(f.op)
	if f.op.Kind == deck.OpUnloadModel {
		w.checkPlace(f, before)
	}
	if answered && f.by == w.ctl {
		w.ctl.Result(f.to, f.op, r, w.now)
	}
	w.check()
}

func (w *world) lose(i int) {
	f := w.ops[i]
	w.ops = slices.Delete(w.ops, i, i+1)
	if f.by == w.ctl {
		w.ctl.Result(f.to, f.op, deck.OperationResult{Outcome: deck.OutcomeUnknown}, w.now)
	}
}

// report lets the engine answer a request, or delivers an answer given before.
func (w *world) report(i int, deliver bool) {
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

func (w *world) loseReport(i int) {
	f := w.reports[i]
	w.reports = slices.Delete(w.reports, i, i+1)
	if f.by == w.ctl {
		w.ctl.ReportFailed(f.to)
	}
}

// run lets the data centre work without faults.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.tick(250 * time.Millisecond)
		w.flush()
	}
}

// runOnly is run with the messages of earlier leaders held back.
func (w *world) runOnly(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.tick(250 * time.Millisecond)
		for i := len(w.ops) - 1; i >= 0; i-- {
			if w.ops[i].by == w.ctl {
				w.deliver(i, true, false)
			}
		}
		for i := len(w.reports) - 1; i >= 0; i-- {
			if w.reports[i].by == w.ctl {
				w.report(i, true)
			}
		}
	}
}

// reportsOnly holds every operation back for some quarters of a second.
func (w *world) reportsOnly(quarters int) {
	for range quarters {
		w.tick(250 * time.Millisecond)
		for len(w.reports) > 0 {
			w.report(0, true)
		}
	}
}

func (w *world) flush() {
	for len(w.ops) > 0 {
		w.deliver(0, true, false)
	}
	for len(w.reports) > 0 {
		w.report(0, true)
	}
}

// replaceLeader lets another VM take over; operations of the old leader stay on their way.
func (w *world) replaceLeader() {
	w.token++
	w.ctl = NewController("dc")
}

func (w *world) restart(b deck.BackendName) {
	f := w.fakes[b]
	for k := range f.models {
		w.restarts[deck.ModelName(k[0])] = w.now
	}
	f.restart()
}

// apply puts a ticket in force if it is feasible and leaves a spare place.
func (w *world) apply(t deck.Ticket) bool {
	next := w.state.WithTicket(t, w.state.Version()+1)
	if plan.Changeable(next) != nil {
		return false
	}
	for _, m := range t.Models {
		if _, ok := w.state.Model(m.Name); !ok {
			w.added[m.Name] = w.now
		}
	}
	w.state = next
	return true
}

func (w *world) placesOf(m deck.ModelName) int {
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

// checkPlace notes an unload that took a model's last place. A restart may take the other place after the unload was
// decided, and a ticket may add a model again while its unload is on its way.
func (w *world) checkPlace(f flight, before int) {
	at, restarted := w.restarts[f.op.Model]
	if !w.added[f.op.Model].Before(f.sentAt) {
		return
	}
	if _, listed := w.state.Model(f.op.Model); !listed || restarted && w.now.Sub(at) < time.Minute {
		return
	}
	if before > 0 && w.placesOf(f.op.Model) == 0 {
		w.faults = append(w.faults, fmt.Sprintf("%s on %s took the last place of %s", f.op.ID, f.to, f.op.Model))
	}
}

// check adds up the memory of each engine.
func (w *world) check() {
	for _, f := range w.fakes {
		if used := f.used(); used > f.backend.MemoryBytes() {
			w.faults = append(w.faults, fmt.Sprintf("%s uses %d of %d bytes", f.backend.Name, used, f.backend.MemoryBytes()))
		}
	}
}

// unplaced returns the models of the state in force without a ready replica of their active version.
func (w *world) unplaced() []deck.ModelName {
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
func (w *world) describe() string {
	var out strings.Builder
	for _, e := range w.ctl.ordered() {
		f := w.fakes[e.backend.Name]
		fmt.Fprintf(&out, "%s ready %v free %d of %d GiB, fake uses %d, target %v\n", e.backend.Name, e.ledger.Ready(),
			e.ledger.Free()/deck.GiB, e.backend.MemoryBytes()/deck.GiB, f.used()/deck.GiB, w.ctl.target.Models(e.backend.Name))
		for _, it := range e.ledger.Items() {
			m, _ := w.state.Model(it.Model)
			_, ready := e.ledger.Holds(it)
			fmt.Fprintf(&out, "  %v ready %v busy %v active %v retiring %v\n", it, ready, e.ledger.Busy(it), m.Active,
				w.ctl.retiring[place{e.backend.Name, it}])
		}
	}
	return out.String()
}
