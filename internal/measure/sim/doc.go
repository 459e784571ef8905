// Package sim measures the production routing policy in virtual time, against simple baseline policies, on a simulation of
// engines, network latency and callers.
package sim
