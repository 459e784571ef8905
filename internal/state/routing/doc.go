// Package routing keeps the newest routing document in the replicated log.
package routing
