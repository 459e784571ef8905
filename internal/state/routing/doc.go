// Package routing stores the newest routing document in a replicated log, and compresses documents for transfer to VMs as
// a delta from a version that they have.
package routing
