// Package statemachine implements the deterministic state machine that the control replicas run on the replicated log, and
// the client that proposes its commands. The state consists of the accepted tickets with the deployment that they
// produce, the idempotency records of non-repeatable calls, and the digests of requests that crash backend servers.
package statemachine
