// Package replication encodes the messages, log records, snapshots and replica identities of the replicated log as JSON and
// decodes them.
package replication
