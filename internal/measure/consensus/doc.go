// Package consensus measures the replicated log: leader failover in virtual time, and how fast a restarted replica catches up
// in real time.
package consensus
