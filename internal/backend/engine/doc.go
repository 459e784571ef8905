// Package engine is the client of the engine protocol: it streams tokens from an engine, reads its reports and sends it
// operations.
package engine
