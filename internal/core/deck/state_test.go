package deck

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a state in force that changes under its readers when a later ticket is applied.
func TestStateIsImmutable(t *testing.T) {
	is := is.New(t)
	before := State{}.WithTicket(Ticket{
		Models:         []Model{{Name: "a", MinReplicas: 1}, {Name: "b"}},
		BackendServers: []BackendServer{{Name: "e", Accelerators: 2, AcceleratorBytes: 8 * GiB}},
	}, 1)
	after := before.WithTicket(Ticket{
		Models:   []Model{{Name: "a", MinReplicas: 2}, {Name: "b", Absent: true}},
		Adapters: []Adapter{{Name: "x", Model: "a"}},
	}, 2)
	a, _ := before.Model("a")
	is.Equal(a.MinReplicas, 1)
	is.Equal(len(before.Models()), 2)
	is.Equal(len(before.Adapters()), 0)
	a, _ = after.Model("a")
	is.Equal(a.MinReplicas, 2)
	_, ok := after.Model("b")
	is.True(!ok)
	e, ok := after.BackendServer("e")
	is.True(ok)
	is.Equal(e.MemoryBytes(), 16*GiB)
	is.Equal(after.Version(), uint64(2))
}

// Guards against an unset outcome that claims that nothing ran, and an unset lease that is valid.
func TestZeroValuesAreSafe(t *testing.T) {
	is := is.New(t)
	var o Outcome
	is.Equal(o, OutcomeUnknown)
	is.True(!PlacementLease{}.ValidAt(time.Time{}))
	is.True(!TicketStatus{}.InForce())
	is.Equal(len(State{}.Models()), 0)
}

// Guards against a membership that changes in place, and a majority that counts learners.
func TestMembership(t *testing.T) {
	is := is.New(t)
	id := func(vm VMName) ReplicaID { return ReplicaID{VM: vm, Incarnation: 1} }
	m := Membership{Voters: []ReplicaID{id("a"), id("b"), id("c")}}
	with := m.WithLearner(id("d"))
	is.Equal(with.Majority(), 2)
	is.True(!m.HasVM("d"))
	four := with.WithVoter(id("d"))
	is.Equal(four.Majority(), 3)
	is.True(!four.IsLearner(id("d")))
	is.True(with.IsLearner(id("d")))
	is.Equal(four.Without(id("a")).Majority(), 2)
	is.True(four.IsVoter(id("a")))
}

// Guards against a wait that outlives its context.
func TestSleep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		begin := time.Now()
		is.True(Sleep(t.Context(), time.Second))
		is.Equal(time.Since(begin), time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.True(!Sleep(ctx, time.Hour))
		is.Equal(time.Since(begin), 2*time.Second)
		is.True(!Sleep(ctx, 0))
	})
}
