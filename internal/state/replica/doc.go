// Package replica implements the replicated log: a pure core driven by messages and time, and a node that runs it.
package replica
