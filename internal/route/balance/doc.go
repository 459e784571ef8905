// Package balance picks backend servers for the calls that package ingress proxies, by cost, from the loads and failures that
// one entry VM knows of, and bounds the retries of these calls. It does no I/O and reads no clock. Package choose picks the
// servers for the inference requests that package attempt runs.
package balance
