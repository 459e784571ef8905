// Package feed distributes the state in force from the control replicas to every VM, with proof of freshness and
// confirmations.
package feed
