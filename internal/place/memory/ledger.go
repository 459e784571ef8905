package memory

import (
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// OperationLifetime is the default bound on the time from sending an operation to its arrival at an engine.
const OperationLifetime = 10 * time.Second

// Errors with which Reserve refuses an operation.
var (
	ErrNotTakenOver = errors.New("takeover of the engine has not finished")
	ErrBusy         = errors.New("an operation on the same item may still take effect")
	ErrMemory       = errors.New("operation would overcommit the engine's memory")
)

// A Ledger accounts for the memory of one engine. It is not safe for concurrent use.
type Ledger struct {
	lifetime      time.Duration
	capacity      deck.Bytes
	fencingToken  uint64
	takeoverStart time.Time // when this lease holder's takeover began
	checksFencing bool
	takenOver     bool // the takeover has finished

	items       map[Item]entry
	outstanding map[deck.OperationID]reservation
	recentLoads map[deck.OperationID]reservation // finished loads whose message may still be repeated

	lastReport  deck.EngineReport
	requestedAt time.Time // of lastReport; zero if there is none
}

type entry struct {
	bytes     deck.Bytes
	ready     bool
	readyAt   time.Time // request time of the first report that showed the item ready
	missingAt time.Time // request time of the first report without the item; zero if the last one has it
}

type reservation struct {
	op      deck.Operation
	sentAt  time.Time
	endedAt time.Time // when the operation was known to have ended; zero before
}

// NewLedger returns the ledger of an engine that a lease holder with the fencing token takes over at takeoverStart. No operation
// may arrive later than lifetime after it was sent.
func NewLedger(b deck.BackendServer, fencingToken uint64, takeoverStart time.Time, lifetime time.Duration) *Ledger {
	return &Ledger{
		capacity:      b.MemoryBytes(),
		fencingToken:  fencingToken,
		takeoverStart: takeoverStart,
		checksFencing: b.ChecksFencing,
		lifetime:      lifetime,
		items:         make(map[Item]entry),
		outstanding:   make(map[deck.OperationID]reservation),
		recentLoads:   make(map[deck.OperationID]reservation),
	}
}

// SetCapacity sets the engine's memory size after a ticket changed it.
func (l *Ledger) SetCapacity(capacity deck.Bytes) {
	l.capacity = capacity
}

// TakenOver reports whether operations of earlier lease holders can no longer take effect and a later report has been counted.
func (l *Ledger) TakenOver() bool {
	return l.takenOver
}

// Reserve reserves the operation's memory before it is sent. It returns ErrNotTakenOver, ErrBusy or ErrMemory if the operation
// must not be sent.
func (l *Ledger) Reserve(op deck.Operation, now time.Time) error {
	if !l.takenOver && op.Kind != deck.OpFence {
		return ErrNotTakenOver
	}
	if op.Kind != deck.OpFence && l.Busy(ItemOf(op)) {
		return ErrBusy
	}
	if op.Kind == deck.OpUnloadModel && l.mayBeRepeated(ItemOf(op), now) {
		return ErrBusy
	}
	required := requiredBytes(op)
	if required > 0 && l.CommittedBytes()+required > l.capacity {
		return ErrMemory
	}
	l.outstanding[op.ID] = reservation{op: op, sentAt: now}
	return nil
}

// RecordResult records the result of an operation, unless its outcome is unknown. The reservation stays until a later report.
func (l *Ledger) RecordResult(id deck.OperationID, r deck.OperationResult, now time.Time) {
	res, ok := l.outstanding[id]
	if !ok || r.Outcome == deck.OutcomeUnknown {
		return
	}
	res.endedAt = now
	l.outstanding[id] = res
}

// CommittedBytes returns the memory that is or may come into use: the larger of the report's and the ledger's figure, and the
// reservations.
func (l *Ledger) CommittedBytes() deck.Bytes {
	return max(l.residentBytes(), l.reportedWithoutLoads(false)) + l.reservedBytes()
}

// UnexplainedBytes returns the reported memory that neither resident items nor outstanding loads account for.
func (l *Ledger) UnexplainedBytes() deck.Bytes {
	return max(0, l.reportedWithoutLoads(true)-l.residentBytes())
}

// FreeBytes returns the memory that new operations may reserve; it is negative after an overcommit.
func (l *Ledger) FreeBytes() deck.Bytes {
	return l.capacity - l.CommittedBytes()
}

// Busy reports whether an operation on the item is outstanding. The zero Item stands for role changes.
func (l *Ledger) Busy(it Item) bool {
	for _, r := range l.outstanding {
		if r.op.Kind != deck.OpFence && ItemOf(r.op) == it {
			return true
		}
	}
	return false
}

// Loading reports whether a load of the item is outstanding.
func (l *Ledger) Loading(it Item) bool {
	for _, r := range l.outstanding {
		if isLoad(r.op.Kind) && ItemOf(r.op) == it {
			return true
		}
	}
	return false
}

// Unloading reports whether an unload of the item is outstanding.
func (l *Ledger) Unloading(it Item) bool {
	return l.Busy(it) && !l.Loading(it)
}

// Outstanding returns the number of operations whose effect on memory is not yet known.
func (l *Ledger) Outstanding() int {
	return len(l.outstanding)
}

// Holds reports whether the item is counted as resident, and whether the last report showed it ready.
func (l *Ledger) Holds(it Item) (held, ready bool) {
	e, ok := l.items[it]
	return ok, ok && e.ready && e.missingAt.IsZero()
}

// ItemBytes returns the memory that is counted for a resident item.
func (l *Ledger) ItemBytes(it Item) deck.Bytes {
	return l.items[it].bytes
}

// ReadyAt returns the request time of the report that first showed the item ready.
func (l *Ledger) ReadyAt(it Item) time.Time {
	return l.items[it].readyAt
}

// Items returns the items counted as resident, ordered by name.
func (l *Ledger) Items() []Item {
	return slices.SortedFunc(maps.Keys(l.items), compareItems)
}

// LoadingItems returns the items with an outstanding load, ordered by name.
func (l *Ledger) LoadingItems() []Item {
	var out []Item
	for _, r := range l.outstanding {
		if isLoad(r.op.Kind) {
			out = append(out, ItemOf(r.op))
		}
	}
	slices.SortFunc(out, compareItems)
	return out
}

// Report returns the last accepted report and the time of its request; ok is false if there is none.
func (l *Ledger) Report() (r deck.EngineReport, requestedAt time.Time, ok bool) {
	return l.lastReport, l.requestedAt, !l.requestedAt.IsZero()
}

func (l *Ledger) residentBytes() deck.Bytes {
	var sum deck.Bytes
	for _, e := range l.items {
		sum += e.bytes
	}
	return sum
}

func (l *Ledger) reservedBytes() deck.Bytes {
	var sum deck.Bytes
	for _, r := range l.outstanding {
		sum += requiredBytes(r.op)
	}
	return sum
}

// reportedWithoutLoads returns the reported memory without the part that outstanding loads already occupy. A report does not
// show how much of its transient memory a running load uses. With assumeTransientUsed, the load is assumed to use all of it
// already, which gives a lower bound; without, none of it, which gives the upper bound that prevents an overcommit.
func (l *Ledger) reportedWithoutLoads(assumeTransientUsed bool) deck.Bytes {
	used := l.lastReport.UsedBytes
	reported := reportedItems(l.lastReport)
	for _, r := range l.outstanding {
		m, ok := reported[ItemOf(r.op)]
		switch {
		case !ok || !isLoad(r.op.Kind):
		case m.Ready || r.op.Kind == deck.OpLoadAdapter:
			used -= r.op.ResidentBytes
		case assumeTransientUsed:
			used -= requiredBytes(r.op)
		default:
			used -= min(m.Bytes, requiredBytes(r.op))
		}
	}
	return used
}

// mayBeRepeated reports whether a repeated message could still load the item on an engine that restarts.
func (l *Ledger) mayBeRepeated(it Item, now time.Time) bool {
	for _, r := range l.recentLoads {
		if ItemOf(r.op) == it && now.Before(r.sentAt.Add(l.lifetime)) {
			return true
		}
	}
	return false
}

func isLoad(k deck.OperationKind) bool {
	return k == deck.OpLoadModel || k == deck.OpLoadAdapter
}

func requiredBytes(op deck.Operation) deck.Bytes {
	if !isLoad(op.Kind) {
		return 0
	}
	return op.ResidentBytes + op.TransientBytes
}
