// Package distribution measures how fast tickets reach all VMs through the feed, and the cost of the feed and of the replicated
// state in CPU time, bytes and memory.
package distribution
