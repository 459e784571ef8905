// Package disk keeps a replica's log and snapshots in files, with variants in memory and with injected faults.
//
// A data folder holds the file "identity", one file "log-N" with the entries after index N, and the file "snapshot-N"
// if N is not 0. Each file consists of frames that carry CRC32C. A log is only appended to: an entry replaces all
// earlier entries from its index on.
package disk
