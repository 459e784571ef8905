// Package machine implements the state machine of the replicated log and its typed client: tickets, idempotency
// records and poison requests.
package machine
