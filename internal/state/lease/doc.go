// Package lease implements the placement lease of a data centre: a lease with fencing tokens that the majority of a set of
// voters grants to at most one VM at a time. It has the voters, the candidate's state machine, and the elector
// that acquires, renews and hands over the lease.
package lease
