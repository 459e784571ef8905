// Package disk stores a replica's log and snapshots in files. It also has an in-memory storage, an in-memory file system that
// simulates crashes and faults, and files for single values such as the state in force.
//
// A data folder holds the file "identity", one file "log-N" with the entries after index N, and the file "snapshot-N"
// if N is not 0. Each file consists of frames with CRC32C checksums. A log file is append-only: an entry replaces
// the entries before it in the file that have its index or a higher one.
package disk
