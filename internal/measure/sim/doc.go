// Package sim measures the routing policy in virtual time on a small model of engines, paths and callers.
package sim
