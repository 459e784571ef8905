// Package memory accounts for the memory of one engine, so that no operation can overcommit it.
package memory
