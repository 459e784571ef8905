package join_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/state/join"
)

var now = time.Unix(1000, 0)

// health returns the health of a replica that last answered the given time ago.
func health(vm string, voter, caughtUp bool, silence time.Duration) deck.ReplicaHealth {
	return deck.ReplicaHealth{
		ID: deck.ReplicaID{VM: deck.VMName(vm), Incarnation: 1}, Voter: voter, CaughtUp: caughtUp, LastContact: now.Add(-silence),
	}
}

// Guards against a membership change that loses the majority, leaves a lost voter in place or is not needed.
func TestNextChange(t *testing.T) {
	const live, dead = 100 * time.Millisecond, 3 * time.Second
	for _, c := range []struct {
		name     string
		wanted   int
		replicas []deck.ReplicaHealth
		step     join.Change
		vm       deck.VMName
	}{
		{"complete", 3, []deck.ReplicaHealth{health("b", true, true, live), health("c", true, true, live)}, join.NoChange, ""},
		{"a silent voter without a replacement may return", 3,
			[]deck.ReplicaHealth{health("b", true, true, live), health("c", true, true, dead)}, join.NoChange, ""},
		{"too few voters", 3,
			[]deck.ReplicaHealth{health("b", true, true, live), health("d", false, true, live)}, join.Promote, "d"},
		{"a silent voter is replaced, the new one first", 3,
			[]deck.ReplicaHealth{health("b", true, true, live), health("c", true, true, dead), health("d", false, true, live)},
			join.Promote, "d"},
		{"then the silent one goes", 3,
			[]deck.ReplicaHealth{health("b", true, true, live), health("c", true, true, dead), health("d", true, true, live)},
			join.Remove, "c"},
		{"a learner that is behind is no replacement", 3,
			[]deck.ReplicaHealth{health("b", true, true, live), health("c", true, true, dead), health("d", false, false, live)},
			join.NoChange, ""},
		{"a silent learner is no replacement", 3,
			[]deck.ReplicaHealth{health("b", true, true, live), health("c", true, true, dead), health("d", false, true, dead)},
			join.NoChange, ""},
		{"a spare learner waits", 3,
			[]deck.ReplicaHealth{health("b", true, true, live), health("c", true, true, live), health("d", false, true, live)},
			join.NoChange, ""},
		{"a learner that has gone is forgotten", 3,
			[]deck.ReplicaHealth{health("b", true, true, live), health("c", true, true, live), health("d", false, false, time.Minute)},
			join.Remove, "d"},
		{"two tolerated losses need five voters", 5,
			[]deck.ReplicaHealth{health("b", true, true, live), health("c", true, true, live), health("d", false, true, live)},
			join.Promote, "d"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			step, id := join.NextChange(now, now.Add(-time.Hour), c.wanted, c.replicas)
			is.Equal(step, c.step)
			is.Equal(id.VM, c.vm)
		})
	}
}

// Guards against a learner that is removed right after it was added, because it has not answered yet.
func TestNewLearnerIsKept(t *testing.T) {
	is := is.New(t)
	learner := deck.ReplicaHealth{ID: deck.ReplicaID{VM: "d", Incarnation: 1}}
	step, _ := join.NextChange(now, now.Add(-time.Hour), 3, []deck.ReplicaHealth{
		health("b", true, true, 0), health("c", true, true, 0), learner,
	})
	is.Equal(step, join.NoChange)
}

// Guards against a live voter that is replaced because a new leader has no answer of it yet.
func TestNewLeaderDelaysReplacingVoters(t *testing.T) {
	is := is.New(t)
	unanswered := deck.ReplicaHealth{ID: deck.ReplicaID{VM: "b", Incarnation: 1}, Voter: true}
	replicas := []deck.ReplicaHealth{unanswered, health("c", true, true, 0), health("d", false, true, 0)}
	step, _ := join.NextChange(now, now.Add(-time.Second), 3, replicas)
	is.Equal(step, join.NoChange)
	step, id := join.NextChange(now, now.Add(-2*time.Second), 3, replicas)
	is.Equal(step, join.Promote)
	is.Equal(id.VM, deck.VMName("d"))
}
