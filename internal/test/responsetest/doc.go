// Package responsetest provides well-formed and malformed HTTP responses, servers that send them, and connections on which a reset is
// reported to a write.
package responsetest
