// Package engine holds the wire types of the engine protocol, which the client and the emulator share.
package engine
