// Package consensus measures the replicated log: leader failover in virtual time and catching up in real time.
package consensus
