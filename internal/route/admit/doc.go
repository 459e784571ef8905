// Package admit orders the requests that wait for a backend server, refuses those that can't meet their deadline, bounds
// the work in flight on each server and chooses requests to preempt.
package admit
