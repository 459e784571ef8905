// Package join keeps the replicated log's voters complete without an operator: new replicas join, and replace voters that
// have gone.
package join
