package statemachine

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/test/decktest"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/command"
)

func (h *harness) ticket(x deck.Ticket) deck.TicketAnswer {
	return h.apply(command.ApplyTicket{Ticket: x}).Ticket
}

func models(n uint64, m ...deck.Model) deck.Ticket {
	return deck.Ticket{Number: n, Models: m}
}

// Guards against an invalid ticket that is accepted, and against a refusal that does not state the reason.
func TestTicketValidation(t *testing.T) {
	const gib = deck.GiB
	server := deck.BackendServer{Name: "s1", Kind: deck.ServiceBackend, DataCentre: "graz-a", Address: "10.0.0.1:80"}
	service := deck.Service{Name: "x", Prefix: "/x", Backends: []deck.BackendName{"s1"}}
	engine := decktest.NewEngine("e2", "graz-a", gib)
	change := func(f func(*deck.BackendServer)) deck.Ticket {
		b := engine
		f(&b)
		return deck.Ticket{Number: 2, BackendServers: []deck.BackendServer{b}}
	}
	version := func(f func(*deck.Model)) deck.Ticket {
		m := decktest.NewModel("m", gib)
		f(&m)
		return models(2, m)
	}
	tests := map[string]struct {
		ticket deck.Ticket
		want   string
	}{
		"number 0":           {models(0, decktest.NewModel("m", gib)), "number 0"},
		"empty":              {models(2), "sets no object"},
		"twice":              {models(2, decktest.NewModel("m", 1), decktest.NewModel("m", 2)), "set twice"},
		"no name":            {models(2, decktest.NewModel("", 1)), "name has"},
		"line break":         {models(2, decktest.NewModel("a\nb", 1)), "name has"},
		"no place":           {models(2, decktest.NewModel("big", 5*gib)), "no place"},
		"overcommitted":      {models(2, decktest.NewModel("m1", 3*gib), decktest.NewModel("m2", 2*gib)), "no place"},
		"weight 0":           {version(func(m *deck.Model) { m.Versions[0].WeightBytes = 0 }), "impossible size"},
		"negative transient": {version(func(m *deck.Model) { m.Versions[0].TransientBytes = -1 }), "impossible size"},
		"overflow":           {version(func(m *deck.Model) { m.Versions[0].KVReserveBytes = 1 << 62 }), "impossible size"},
		"version twice":      {version(func(m *deck.Model) { m.Versions = append(m.Versions, m.Versions[0]) }), "listed twice"},
		"no active version":  {version(func(m *deck.Model) { m.Active = "v9" }), "not listed"},
		"negative replicas":  {version(func(m *deck.Model) { m.MinReplicas = -1 }), "replicas"},
		"next version too big": {version(func(m *deck.Model) {
			m.Versions = append(m.Versions, deck.ModelVersion{Name: "v2", WeightBytes: 9 * gib})
		}), "fits on no engine"},
		"address by name":      {change(func(b *deck.BackendServer) { b.Address = "host:80" }), "IP number"},
		"no data centre":       {change(func(b *deck.BackendServer) { b.DataCentre = "" }), "no data centre"},
		"no accelerator":       {change(func(b *deck.BackendServer) { b.Accelerators = 0 }), "accelerators"},
		"last engine leaves":   {change(func(b *deck.BackendServer) { b.Name, b.Leaving = "e1", true }), "no place"},
		"adapter of no model":  {deck.Ticket{Number: 2, Adapters: []deck.Adapter{{Name: "a", Model: "none", Bytes: 1}}}, "does not exist"},
		"adapter of 0 bytes":   {deck.Ticket{Number: 2, Adapters: []deck.Adapter{{Name: "a", Model: "m0"}}}, "0 bytes"},
		"removes nothing":      {models(2, deck.Model{Name: "none", Absent: true}), "can't be removed"},
		"removes what is used": {models(2, deck.Model{Name: "m0", Absent: true}), "does not exist"},
		"service on an engine": {deck.Ticket{Number: 2, Services: []deck.Service{{Name: "x", Prefix: "/x", Backends: []deck.BackendName{"e1"}}}}, "is an engine"},
		"prefix":               {deck.Ticket{Number: 2, Services: []deck.Service{{Name: "x", Prefix: "x", Backends: []deck.BackendName{"e1"}}}}, "start with /"},
		"valid service":        {deck.Ticket{Number: 2, BackendServers: []deck.BackendServer{server}, Services: []deck.Service{service}}, ""},
		"valid model":          {models(2, decktest.NewModel("m", gib)), ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness()
			first := models(1, decktest.NewModel("m0", gib/2))
			first.BackendServers = []deck.BackendServer{decktest.NewEngine("e1", "graz-a", 4*gib)}
			first.Adapters = []deck.Adapter{{Name: "a0", Model: "m0", Bytes: 1}}
			is.Equal(h.ticket(first).Verdict, deck.TicketAccepted)
			got := h.ticket(tt.ticket)
			is.Equal(got.Verdict == deck.TicketAccepted, tt.want == "")
			is.True(strings.Contains(got.Reason, tt.want))
			is.Equal(h.m.State().Version() == 2, tt.want == "")
		})
	}
}

// Guards against an answer that differs when a ticket is submitted again: after another operator used the same number, after
// a correction of a refused ticket, and for an older ticket after a newer one.
func TestTicketAnswers(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	is.Equal(h.ticket(deck.Ticket{
		Number: 1, BackendServers: []deck.BackendServer{decktest.NewEngine("e", "graz-a", 100)},
	}).Version, uint64(1))
	one, two := models(5, decktest.NewModel("m", 10)), models(5, decktest.NewModel("m", 20))
	accepted := h.ticket(one)
	is.Equal(accepted.Verdict, deck.TicketAccepted)
	conflict := h.ticket(two)
	is.Equal(conflict.Verdict, deck.TicketConflict)
	is.Equal(conflict.Digest, accepted.Digest)
	is.True(strings.Contains(conflict.Reason, "1970-01-12T13:46:40Z"))
	is.Equal(h.ticket(one), accepted)

	tooBig := models(6, decktest.NewModel("n", 1000))
	refused := h.ticket(tooBig)
	is.Equal(h.m.Ticket(6), refused)
	is.Equal(h.ticket(models(6, decktest.NewModel("n", 30))).Verdict, deck.TicketAccepted)
	is.Equal(h.ticket(tooBig), refused)
	is.Equal(h.m.Ticket(6).Verdict, deck.TicketAccepted)

	older := h.ticket(models(4, decktest.NewModel("k", 1), decktest.NewModel("m", 1)))
	is.Equal(older.Verdict, deck.TicketSuperseded)
	is.Equal(older.Reason, `model "m" was set by ticket 5`)
	is.Equal(h.ticket(models(3, decktest.NewModel("k", 1))).Verdict, deck.TicketAccepted)
	is.Equal(h.ticket(models(7, deck.Model{Name: "m", Absent: true})).Verdict, deck.TicketAccepted)
	is.Equal(h.ticket(one), accepted) // the answer is repeated, the object stays removed
	is.Equal(len(h.m.State().Models()), 2)
	is.Equal(h.m.Ticket(99).Verdict, deck.TicketUnknown)
}

// Guards against recorded refusals that grow without limit.
func TestRefusalsAreBounded(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	for i := range MaxRefusals + 5 {
		h.ticket(models(uint64(i+1), deck.Model{Name: "m"}))
	}
	is.Equal(len(h.m.tickets.refusals), MaxRefusals)
	is.Equal(h.m.Ticket(5).Verdict, deck.TicketUnknown)
	is.Equal(h.m.Ticket(6).Verdict, deck.TicketRefused)
}

// Guards against an invalid snapshot that replaces part of the state, and an invalid command that changes the state or panics.
func TestInvalidInputLeavesStateUnchanged(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	h.ticket(decktest.DeploymentTicket(1, 1, 1))
	before, err := h.m.Snapshot()
	is.NoErr(err)
	for _, bad := range []string{"", "{", `{"state":{},"running":[{"status":"x"}]}`} {
		is.True(h.m.Restore([]byte(bad)) != nil)
		is.True(strings.Contains(string(h.m.Apply(9, []byte(bad))), "reason"))
	}
	after, err := h.m.Snapshot()
	is.NoErr(err)
	is.Equal(string(after), string(before))
	is.Equal(fmt.Sprint(h.m.State().Version()), "1")
}
