// Package attempt runs an inference request on backend servers, with retries, hedges and resumption after a failure, until
// the caller has the complete answer.
package attempt
