package deck

import (
	"fmt"
	"slices"
)

// IsZero reports whether the identity is unset.
func (id ReplicaID) IsZero() bool {
	return id == ReplicaID{}
}

// String returns the identity as "vm/incarnation" with the incarnation in hexadecimal, or "none".
func (id ReplicaID) String() string {
	if id.IsZero() {
		return "none"
	}
	return fmt.Sprintf("%s/%016x", id.VM, id.Incarnation)
}

// A Membership is the immutable set of replicas of the log; its zero value has no members.
type Membership struct {
	Voters   []ReplicaID
	Learners []ReplicaID
}

// IsVoter reports whether the replica counts towards majorities.
func (m Membership) IsVoter(id ReplicaID) bool {
	return slices.Contains(m.Voters, id)
}

// IsLearner reports whether the replica receives the log without counting towards majorities.
func (m Membership) IsLearner(id ReplicaID) bool {
	return slices.Contains(m.Learners, id)
}

// IsEmpty reports whether there are no members.
func (m Membership) IsEmpty() bool {
	return len(m.Voters) == 0 && len(m.Learners) == 0
}

// HasVM reports whether any incarnation of the VM is a member.
func (m Membership) HasVM(vm VMName) bool {
	return slices.ContainsFunc(m.Members(), func(id ReplicaID) bool { return id.VM == vm })
}

// Majority returns the number of voters that form a majority.
func (m Membership) Majority() int {
	return len(m.Voters)/2 + 1
}

// Members returns voters and learners.
func (m Membership) Members() []ReplicaID {
	return slices.Concat(m.Voters, m.Learners)
}

// WithLearner returns the membership with an additional learner.
func (m Membership) WithLearner(id ReplicaID) Membership {
	return Membership{Voters: m.Voters, Learners: slices.Concat(m.Learners, []ReplicaID{id})}
}

// WithVoter returns the membership in which the replica is a voter and no longer a learner.
func (m Membership) WithVoter(id ReplicaID) Membership {
	n := m.Without(id)
	n.Voters = slices.Concat(n.Voters, []ReplicaID{id})
	return n
}

// Without returns the membership without the replica.
func (m Membership) Without(id ReplicaID) Membership {
	matches := func(v ReplicaID) bool { return v == id }
	return Membership{
		Voters:   slices.DeleteFunc(slices.Clone(m.Voters), matches),
		Learners: slices.DeleteFunc(slices.Clone(m.Learners), matches),
	}
}
