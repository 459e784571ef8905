// Package eventstream tells whole streams of server-sent events from those that were broken off. The end of a connection alone
// doesn't: it is also how an answer without a length or chunks ends.
package eventstream
