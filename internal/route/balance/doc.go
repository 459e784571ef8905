// Package balance picks backend servers for calls by cost, from the loads and failures that one entry VM knows of, and
// bounds retries. It does no I/O and reads no clock.
package balance
