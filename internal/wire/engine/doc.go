// Package engine defines the paths, headers and JSON bodies of the engine protocol, which the engine client and the engine
// emulator share.
package engine
