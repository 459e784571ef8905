// Package engine is a client of the engine protocol.
package engine
