// Package memory keeps a ledger of one engine's memory, so that no operation can overcommit it.
package memory
