package disk

import (
	"io"
	"io/fs"
	"maps"
	"slices"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// ErrDiskFull is the error of an operation on MemoryFiles that are full.
var ErrDiskFull error = syscall.ENOSPC

// errLocked means that MemoryFiles are already locked.
var errLocked = errors.New("data folder is in use")

// An Operation is a call that changes files, or makes changes durable.
type Operation struct {
	Kind OperationKind
	Name string // file, empty for SyncDirOperation
}

// An OperationKind is the kind of an Operation.
type OperationKind string

// The kinds of operation.
const (
	CreateOperation   OperationKind = "create"
	WriteOperation    OperationKind = "write"
	SyncOperation     OperationKind = "sync"
	TruncateOperation OperationKind = "truncate"
	RenameOperation   OperationKind = "rename"
	RemoveOperation   OperationKind = "remove"
	SyncDirOperation  OperationKind = "sync-dir"
)

// MemoryFiles is a folder in memory that loses what was not synced at a crash; the zero value is an empty folder.
type MemoryFiles struct {
	// Fault is called before each operation; an error prevents the operation, but ErrDiskFull lets half of a write take effect.
	Fault func(op Operation) error

	mu      sync.Mutex
	names   map[string]*memoryContent
	durable map[string]*memoryContent // names as of the last SyncDir
	locked  bool
}

// A memoryContent is the current and the durable content of a file.
type memoryContent struct {
	data   []byte
	synced []byte
}

var _ deck.FileSystem = (*MemoryFiles)(nil)

// Crash drops what is not durable, except for up to tornBytes bytes that were appended to each file after its last sync.
func (m *MemoryFiles) Crash(tornBytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.names = make(map[string]*memoryContent)
	for name, c := range m.durable {
		kept := slices.Clone(c.synced)
		if extra := len(c.data) - len(c.synced); extra > 0 {
			kept = append(kept, c.data[len(kept):len(kept)+min(tornBytes, extra)]...)
		}
		m.names[name] = &memoryContent{data: kept, synced: slices.Clone(kept)}
	}
	m.durable = maps.Clone(m.names)
	m.locked = false
}

// CorruptByte inverts a byte of a file.
func (m *MemoryFiles) CorruptByte(name string, offset int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.names[name].data[offset] ^= 0xff
}

// Append implements deck.FileSystem.Append.
func (m *MemoryFiles) Append(name string) (deck.File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, ok := m.names[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return &memoryFile{files: m, name: name, content: c}, nil
}

// Create implements deck.FileSystem.Create.
func (m *MemoryFiles) Create(name string) (deck.File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.fault(CreateOperation, name); err != nil {
		return nil, err
	}
	if m.names == nil {
		m.names = make(map[string]*memoryContent)
	}
	m.names[name] = &memoryContent{}
	return &memoryFile{files: m, name: name, content: m.names[name]}, nil
}

// List implements deck.FileSystem.List.
func (m *MemoryFiles) List() ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.names)), nil
}

// Lock implements deck.FileSystem.Lock.
func (m *MemoryFiles) Lock() (io.Closer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.locked {
		return nil, errLocked
	}
	m.locked = true
	return memoryLock{m}, nil
}

// Read implements deck.FileSystem.Read.
func (m *MemoryFiles) Read(name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, ok := m.names[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(c.data), nil
}

// Remove implements deck.FileSystem.Remove.
func (m *MemoryFiles) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.fault(RemoveOperation, name); err != nil {
		return err
	}
	delete(m.names, name)
	return nil
}

// Rename implements deck.FileSystem.Rename.
func (m *MemoryFiles) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.fault(RenameOperation, to); err != nil {
		return err
	}
	c, ok := m.names[from]
	if !ok {
		return fs.ErrNotExist
	}
	delete(m.names, from)
	m.names[to] = c
	return nil
}

// SyncDir implements deck.FileSystem.SyncDir.
func (m *MemoryFiles) SyncDir() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.fault(SyncDirOperation, ""); err != nil {
		return err
	}
	m.durable = maps.Clone(m.names)
	return nil
}

func (m *MemoryFiles) fault(kind OperationKind, name string) error {
	if m.Fault == nil {
		return nil
	}
	return m.Fault(Operation{Kind: kind, Name: name})
}

// A memoryLock releases the lock of MemoryFiles when it is closed.
type memoryLock struct{ files *MemoryFiles }

func (l memoryLock) Close() error {
	l.files.mu.Lock()
	defer l.files.mu.Unlock()
	l.files.locked = false
	return nil
}

// A memoryFile is an open file of MemoryFiles.
type memoryFile struct {
	files   *MemoryFiles
	name    string
	content *memoryContent
}

var _ deck.File = (*memoryFile)(nil)

// Write implements io.Writer.
func (f *memoryFile) Write(p []byte) (int, error) {
	f.files.mu.Lock()
	defer f.files.mu.Unlock()
	err := f.files.fault(WriteOperation, f.name)
	switch {
	case errors.Is(err, ErrDiskFull):
		p = p[:len(p)/2]
	case err != nil:
		return 0, err
	}
	f.content.data = append(f.content.data, p...)
	return len(p), err
}

// Sync implements deck.File.Sync.
func (f *memoryFile) Sync() error {
	f.files.mu.Lock()
	defer f.files.mu.Unlock()
	if err := f.files.fault(SyncOperation, f.name); err != nil {
		return err
	}
	f.content.synced = slices.Clone(f.content.data)
	return nil
}

// Truncate implements deck.File.Truncate.
func (f *memoryFile) Truncate(size int64) error {
	f.files.mu.Lock()
	defer f.files.mu.Unlock()
	if err := f.files.fault(TruncateOperation, f.name); err != nil {
		return err
	}
	f.content.data = f.content.data[:size:size]
	return nil
}

// Close implements io.Closer.
func (f *memoryFile) Close() error {
	return nil
}
