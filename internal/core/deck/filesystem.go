package deck

import "io"

// A File is an open file whose content is durable only once it is synced.
type File interface {
	io.WriteCloser

	// Sync makes the content durable.
	Sync() error

	// Truncate cuts the file to the given size in bytes.
	Truncate(size int64) error
}

// A FileSystem is the content of one data folder without subfolders.
type FileSystem interface {
	// Append opens an existing file for writing at its end.
	Append(name string) (File, error)

	// Create creates an empty file or empties an existing one.
	Create(name string) (File, error)

	// List returns the names of the files in order.
	List() ([]string, error)

	// Lock keeps other processes from locking the folder until the result is closed.
	Lock() (io.Closer, error)

	// Read returns the content of a file.
	Read(name string) ([]byte, error)

	// Remove removes a file.
	Remove(name string) error

	// Rename renames a file; it replaces an existing file of the new name.
	Rename(from, to string) error

	// SyncDir makes the creation, renaming and removal of files durable.
	SyncDir() error
}
