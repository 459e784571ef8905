package disk

import (
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	dirMode  = 0o700
	fileMode = 0o600
	lockName = "lock"
)

// OSFiles gives access to the files of a folder in the file system of the operating system.
type OSFiles struct {
	dir string
}

var _ deck.FileSystem = OSFiles{}

// OpenOSFiles returns the files of the folder, and creates the folder if it does not exist. After deck.ErrDiskFull it may be called again.
func OpenOSFiles(dir string) (OSFiles, error) {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return OSFiles{}, errors.Wrap(markFull(err), "create data folder")
	}
	if err := syncDir(filepath.Dir(filepath.Clean(dir))); err != nil {
		return OSFiles{}, err
	}
	return OSFiles{dir: dir}, nil
}

// Append implements deck.FileSystem.Append.
func (o OSFiles) Append(name string) (deck.File, error) {
	return os.OpenFile(o.path(name), os.O_WRONLY|os.O_APPEND, fileMode)
}

// Create implements deck.FileSystem.Create.
func (o OSFiles) Create(name string) (deck.File, error) {
	return os.OpenFile(o.path(name), os.O_WRONLY|os.O_APPEND|os.O_CREATE|os.O_TRUNC, fileMode)
}

// List implements deck.FileSystem.List.
func (o OSFiles) List() ([]string, error) {
	entries, err := os.ReadDir(o.dir)
	if err != nil {
		return nil, errors.Wrap(err, "list data folder")
	}
	var names []string
	for _, e := range entries {
		if e.Type().IsRegular() && e.Name() != lockName {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

// Lock implements deck.FileSystem.Lock.
func (o OSFiles) Lock() (io.Closer, error) {
	f, err := os.OpenFile(o.path(lockName), os.O_WRONLY|os.O_CREATE, fileMode)
	if err != nil {
		return nil, errors.Wrap(err, "open lock file of data folder")
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.CombineErrors(errors.Wrapf(err, "data folder %s is in use", o.dir), f.Close())
	}
	return f, nil
}

// Read implements deck.FileSystem.Read.
func (o OSFiles) Read(name string) ([]byte, error) {
	return os.ReadFile(o.path(name))
}

// Remove implements deck.FileSystem.Remove.
func (o OSFiles) Remove(name string) error {
	return os.Remove(o.path(name))
}

// Rename implements deck.FileSystem.Rename.
func (o OSFiles) Rename(from, to string) error {
	return os.Rename(o.path(from), o.path(to))
}

// SyncDir implements deck.FileSystem.SyncDir.
func (o OSFiles) SyncDir() error {
	return syncDir(o.dir)
}

func (o OSFiles) path(name string) string {
	return filepath.Join(o.dir, name)
}

func syncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return errors.Wrap(err, "open folder to sync it")
	}
	return errors.CombineErrors(errors.Wrapf(f.Sync(), "sync folder %s", dir), f.Close())
}
