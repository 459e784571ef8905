package statemachine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/test/decktest"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/command"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/ticket"
)

// A replicaPair applies each command to a machine and to one that is restored from the first one's snapshots, and fails the
// test if their results differ.
type replicaPair struct {
	original, restored *Machine
	index              uint64
	now                time.Time
}

func newReplicaPair() *replicaPair {
	return &replicaPair{original: New(nil, nil), restored: New(nil, nil), now: time.Unix(1_000_000, 0).UTC()}
}

func (p *replicaPair) apply(t *rapid.T, c command.Command) command.Result {
	p.index++
	data := command.Encode(command.Envelope{ProposedAt: p.now, Command: c})
	got, other := p.original.Apply(p.index, data), p.restored.Apply(p.index, data)
	if string(got) != string(other) {
		t.Fatalf("the restored replica answers %s instead of %s", other, got)
	}
	r, err := command.DecodeResult(got)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func (p *replicaPair) restoreFromSnapshot(t *rapid.T) {
	data, err := p.original.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	p.restored = New(nil, nil)
	p.restored.calls.maxEnded = p.original.calls.maxEnded
	if err := p.restored.Restore(data); err != nil {
		t.Fatal(err)
	}
}

// A ticketOracle holds the answers given so far and the expected objects of the state.
type ticketOracle struct {
	answers  map[refusalKey]deck.TicketAnswer
	accepted map[uint64]deck.TicketDigest
	lastSet  map[objectID]uint64
	model    map[deck.ModelName]deck.Bytes // weight; absent models are missing
	engine   map[deck.BackendName]deck.Bytes
}

func (o *ticketOracle) check(t *rapid.T, p *replicaPair, x deck.Ticket, got deck.TicketAnswer) {
	key := refusalKey{x.Number, ticket.Digest(x)}
	if before, ok := o.answers[key]; ok && before != got {
		t.Fatalf("ticket %d was answered %+v and now %+v", x.Number, before, got)
	}
	acceptedDigest, taken := o.accepted[x.Number]
	superseded := slices.ContainsFunc(objects(x), func(id objectID) bool { return o.lastSet[id] > x.Number })
	switch {
	case o.answers[key] != deck.TicketAnswer{}:
		return
	case taken && (got.Verdict != deck.TicketConflict || got.Digest != acceptedDigest):
		t.Fatalf("number %d was accepted with digest %s, answer %+v", x.Number, acceptedDigest, got)
	case !taken && superseded != (got.Verdict == deck.TicketSuperseded):
		t.Fatalf("ticket %d: superseded %v, answer %+v", x.Number, superseded, got)
	case !taken && !superseded && got.Verdict == deck.TicketConflict:
		t.Fatalf("ticket %d: no ticket was accepted under the number, answer %+v", x.Number, got)
	}
	if got.Verdict != deck.TicketConflict {
		o.answers[key] = got
	}
	if got.Verdict == deck.TicketAccepted {
		o.accept(t, p, x, key.Digest, got)
	}
}

func (o *ticketOracle) accept(t *rapid.T, p *replicaPair, x deck.Ticket, d deck.TicketDigest, got deck.TicketAnswer) {
	if got.Version != p.index || p.original.State().Version() != p.index {
		t.Fatalf("version %d at index %d", got.Version, p.index)
	}
	o.accepted[x.Number] = d
	for _, id := range objects(x) {
		o.lastSet[id] = x.Number
	}
	for _, m := range x.Models {
		o.model[m.Name] = m.Versions[0].WeightBytes
		if m.Absent {
			delete(o.model, m.Name)
		}
	}
	for _, b := range x.BackendServers {
		o.engine[b.Name] = b.AcceleratorBytes
		if b.Absent || b.Leaving {
			delete(o.engine, b.Name)
		}
	}
}

// checkState compares the state with the oracle's objects, and searches exhaustively for a packing of its models.
func (o *ticketOracle) checkState(t *rapid.T, s deck.State) {
	if len(s.Models()) != len(o.model) {
		t.Fatalf("models %+v, want %v", s.Models(), o.model)
	}
	var items []deck.Bytes
	for _, m := range s.Models() {
		if m.Versions[0].WeightBytes != o.model[m.Name] {
			t.Fatalf("model %+v, want weight %d", m, o.model[m.Name])
		}
		items = append(items, m.Versions[0].ResidentBytes())
	}
	for _, a := range s.Adapters() {
		if _, ok := o.model[a.Model]; !ok {
			t.Fatalf("adapter %+v of a model that does not exist", a)
		}
	}
	var bins []deck.Bytes
	for _, bytes := range o.engine {
		bins = append(bins, bytes-1) // less the models' transient bytes
	}
	if !canPack(items, bins) {
		t.Fatalf("models of %v bytes don't fit on engines of %v", items, bins)
	}
}

func canPack(items, bins []deck.Bytes) bool {
	if len(items) == 0 {
		return true
	}
	for i := range bins {
		if bins[i] < items[0] {
			continue
		}
		rest := slices.Clone(bins)
		rest[i] -= items[0]
		if canPack(items[1:], rest) {
			return true
		}
	}
	return false
}

func drawTicket(t *rapid.T) deck.Ticket {
	x := deck.Ticket{Number: rapid.Uint64Range(0, 9).Draw(t, "number")}
	name := func(prefix string) string { return fmt.Sprint(prefix, rapid.IntRange(1, 3).Draw(t, prefix)) }
	size := func() deck.Bytes { return deck.Bytes(rapid.IntRange(1, 8).Draw(t, "size")) * 10 }
	absent := func() bool { return rapid.IntRange(0, 5).Draw(t, "absent") == 0 }
	for range rapid.IntRange(0, 2).Draw(t, "engines") {
		b := decktest.NewEngine(name("e"), "graz-a", size()*2)
		b.Absent, b.Leaving = absent(), absent()
		x.BackendServers = append(x.BackendServers, b)
	}
	for range rapid.IntRange(0, 2).Draw(t, "models") {
		m := decktest.NewModel(name("m"), size())
		m.Absent = absent()
		x.Models = append(x.Models, m)
	}
	if absent() {
		x.Adapters = append(x.Adapters, deck.Adapter{Name: deck.AdapterName(name("a")), Model: deck.ModelName(name("m")), Bytes: 1})
	}
	return x
}

// Guards against a ticket that is answered differently when it is submitted again, two contents accepted under one number, an
// older ticket that overwrites a newer one, a state that does not fit on its engines, and replicas that differ after a
// snapshot.
func TestFuzzTickets(t *testing.T) {
	decktest.Check(t, func(t *rapid.T) {
		p := newReplicaPair()
		o := &ticketOracle{
			answers: make(map[refusalKey]deck.TicketAnswer), accepted: make(map[uint64]deck.TicketDigest),
			lastSet: make(map[objectID]uint64), model: make(map[deck.ModelName]deck.Bytes),
			engine: make(map[deck.BackendName]deck.Bytes),
		}
		var sent []deck.Ticket
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			x := drawTicket(t)
			switch kind := rapid.IntRange(0, 9).Draw(t, "step"); {
			case kind < 3 && len(sent) > 0:
				x = rapid.SampledFrom(sent).Draw(t, "again")
			case kind == 9:
				p.restoreFromSnapshot(t)
			}
			sent = append(sent, x)
			got := p.apply(t, command.ApplyTicket{Ticket: x}).Ticket
			o.check(t, p, x, got)
			o.checkState(t, p.original.State())
			p.now = p.now.Add(time.Second)
		}
	})
}
