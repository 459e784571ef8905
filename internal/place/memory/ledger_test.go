package memory

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func load(id string, model deck.ModelName) deck.Operation {
	return deck.Operation{
		ID: deck.OperationID(id), Kind: deck.OpLoadModel, Model: model, Version: "v1", FencingToken: 1,
		ResidentBytes: 10 * deck.GiB, TransientBytes: 2 * deck.GiB,
	}
}

func unload(id string, model deck.ModelName) deck.Operation {
	return deck.Operation{ID: deck.OperationID(id), Kind: deck.OpUnloadModel, Model: model, Version: "v1", FencingToken: 1}
}

// report returns a report of the engine's first incarnation with ready models of 10 GiB each.
func report(models ...deck.ModelName) deck.EngineReport {
	r := deck.EngineReport{BootID: "a", FencingToken: 1, UsedBytes: deck.Bytes(len(models)) * 10 * deck.GiB}
	for _, m := range models {
		r.Models = append(r.Models, deck.ResidentModel{Model: m, Version: "v1", Ready: true, Bytes: 10 * deck.GiB})
	}
	return r
}

func declared(Item) deck.Bytes { return 10 * deck.GiB }

func newTestLedger(r deck.EngineReport) *Ledger {
	b := deck.BackendServer{Accelerators: 1, AcceleratorBytes: 34 * deck.GiB, ChecksFencing: true}
	l := NewLedger(b, 1, start, OperationLifetime)
	l.ApplyReport(r, at(0), declared)
	return l
}

var done = deck.OperationResult{Outcome: deck.OutcomeDone}

// Guards against releasing a reservation while the operation can still take effect.
func TestReservationIsReleasedOnlyByLaterReport(t *testing.T) {
	loading := report("m0")
	loading.Models[0].Ready = false
	loading.UsedBytes = 12 * deck.GiB
	restarted := report()
	restarted.BootID = "b"
	type step struct { // times in seconds, memory in GiB
		report       deck.EngineReport
		requestedAt  float64
		committedGiB deck.Bytes
	}
	for name, tt := range map[string]struct {
		settledAt float64 // in seconds, when the end became known; 0 if the answer was lost
		steps     []step
	}{
		"requested before the end":         {2, []step{{report("m0"), 1.5, 12}, {report("m0"), 2.5, 10}}},
		"refused, requested before":        {2, []step{{report(), 1.5, 12}, {report(), 2.5, 0}}},
		"answer lost, within the lifetime": {0, []step{{report(), 5, 12}, {report(), 10.5, 12}, {report(), 11, 0}}},
		"answer lost, seen ready":          {0, []step{{report("m0"), 5, 12}, {report("m0"), 6, 10}}},
		"still running after the lifetime": {0, []step{{loading, 12, 14}, {report("m0"), 30, 10}}}, // its transient memory counts twice
		"engine restarted":                 {0, []step{{restarted, 5, 12}, {restarted, 11, 0}}},
		"restarted after the release": {2, []step{
			{report("m0"), 3, 10}, {restarted, 4, 12}, {restarted, 10.5, 12}, {restarted, 11.5, 0},
		}},
		"reports out of order": {2, []step{{report(), 3, 0}, {report("m0"), 2.5, 0}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := newTestLedger(report())
			is.NoErr(l.Reserve(load("1", "m0"), at(1)))
			is.Equal(l.CommittedBytes(), 12*deck.GiB) // resident and transient are reserved before the send
			if tt.settledAt > 0 {
				l.RecordResult("1", done, at(tt.settledAt))
			}
			for _, s := range tt.steps {
				l.ApplyReport(s.report, at(s.requestedAt), declared)
				is.Equal(l.CommittedBytes()/deck.GiB, s.committedGiB)
			}
		})
	}
}

// Guards against operations that overcommit memory, race with another operation on the item, or are sent before the takeover of
// the engine has finished.
func TestReserveRefusesUnsafeOperations(t *testing.T) {
	is := is.New(t)
	l := newTestLedger(report("m0", "m1"))
	is.NoErr(l.Reserve(load("1", "m2"), at(1)))
	is.Equal(l.Reserve(load("2", "m2"), at(1)), ErrBusy)
	is.Equal(l.Reserve(load("3", "m3"), at(1)), ErrMemory)
	l.RecordResult("1", done, at(2))
	l.ApplyReport(report("m0", "m1", "m2"), at(3), declared)
	is.Equal(l.Reserve(unload("4", "m2"), at(10)), ErrBusy) // the load may be repeated after a restart
	is.NoErr(l.Reserve(unload("5", "m2"), at(11)))
	is.Equal(l.Reserve(load("6", "m2"), at(12)), ErrBusy) // the unload may arrive after the load
	is.Equal(l.CommittedBytes(), 30*deck.GiB)             // counted until a later report is without it
	l.RecordResult("5", done, at(12))
	l.ApplyReport(report("m0", "m1"), at(13), declared)
	is.Equal(l.CommittedBytes(), 20*deck.GiB)
}

// Guards against an operation of an earlier lease holder that takes effect after the first one of the new holder.
func TestReserveRefusesOperationsBeforeTakeover(t *testing.T) {
	is := is.New(t)
	b := deck.BackendServer{Accelerators: 1, AcceleratorBytes: 34 * deck.GiB}
	l := NewLedger(b, 2, start, OperationLifetime)
	l.ApplyReport(report(), at(9.9), declared)
	is.Equal(l.Reserve(load("1", "m0"), at(10)), ErrNotTakenOver) // the engine ignores tokens
	l.ApplyReport(report(), at(10), declared)
	is.NoErr(l.Reserve(load("1", "m0"), at(10)))

	b.ChecksFencing = true
	l = NewLedger(b, 2, start, OperationLifetime)
	l.ApplyReport(report(), at(60), declared)
	is.Equal(l.Reserve(load("1", "m0"), at(60)), ErrNotTakenOver) // the report still shows token 1
	fenced := report()
	fenced.FencingToken = 2
	l.ApplyReport(fenced, at(61), declared)
	is.NoErr(l.Reserve(load("1", "m0"), at(61)))
	lost := report()
	lost.BootID = "b"
	l.ApplyReport(lost, at(62), declared)
	is.True(!l.TakenOver()) // a restarted engine may have lost the token
}

// Guards against using the smaller figure of report and ledger, and against a difference that is not reported.
func TestCommittedBytesIsLargerOfReportAndLedger(t *testing.T) {
	is := is.New(t)
	l := newTestLedger(report("m0"))
	_, differs := l.Disagreement()
	is.True(!differs)

	more := report("m0")
	more.UsedBytes = 25 * deck.GiB
	l.ApplyReport(more, at(1), declared)
	is.Equal(l.CommittedBytes(), 25*deck.GiB)
	is.Equal(l.Reserve(load("1", "m1"), at(1)), ErrMemory)
	d, differs := l.Disagreement()
	is.True(differs)
	is.Equal(d.ReportBytes, 25*deck.GiB)
	is.Equal(d.LedgerBytes, 10*deck.GiB)

	l.ApplyReport(report(), at(2), declared) // the model went missing without an unload
	is.Equal(l.CommittedBytes(), 10*deck.GiB)
	d, _ = l.Disagreement()
	is.Equal(len(d.Missing), 1)
	_, ready := l.Holds(Item{Model: "m0", Version: "v1"})
	is.True(!ready)
	l.ApplyReport(report(), at(5), declared)
	is.Equal(l.CommittedBytes(), 10*deck.GiB)
	l.ApplyReport(report(), at(12), declared)
	is.Equal(l.CommittedBytes(), deck.Bytes(0))
}
