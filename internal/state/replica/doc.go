// Package replica implements the replicated log with the Raft consensus algorithm.
//
// A Core is one replica's deterministic state machine, driven by messages and time. A Node runs a Core with a clock, a
// storage, a transport and the state machine that the log drives.
package replica
