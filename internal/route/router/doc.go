// Package router admits, queues, preempts and assigns inference requests to backend servers on one entry VM, from the decisions
// of the packages admit, choose and health.
package router
