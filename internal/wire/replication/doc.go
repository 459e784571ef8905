// Package replication maps the replicated log's messages, entries and snapshots to JSON and back.
package replication
