package disk

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

var errInjected = errors.New("injected")

func testOptions(files deck.FileSystem) Options {
	return Options{Files: files, Deployment: "test", VM: "a", Incarnation: func() uint64 { return 7 }}
}

func command(index, term uint64) deck.LogEntry {
	return deck.LogEntry{Index: index, Term: term, Kind: deck.EntryCommand, Command: fmt.Appendf(nil, "%d/%d", index, term)}
}

func members() deck.Membership {
	return deck.Membership{Voters: []deck.ReplicaID{{VM: "a", Incarnation: 7}}}
}

// history returns writes as a replica makes them: entries, a replaced end of the log, a snapshot with entries after it, and a
// snapshot beyond the log.
func history() []deck.LogWrite {
	return []deck.LogWrite{
		{Ballot: &deck.Ballot{Term: 1, Vote: deck.ReplicaID{VM: "b", Incarnation: 9}}},
		{Entries: []deck.LogEntry{{Index: 1, Term: 1, Kind: deck.EntryMembership, Membership: members()}, command(2, 1)}},
		{Ballot: &deck.Ballot{Term: 2}, Entries: []deck.LogEntry{command(3, 2), command(4, 2)}},
		{Entries: []deck.LogEntry{command(4, 3), command(5, 3)}},
		{Snapshot: &deck.LogSnapshot{Index: 3, Term: 2, Membership: members(), Data: []byte("three")}},
		{Entries: []deck.LogEntry{command(6, 3)}},
		{Snapshot: &deck.LogSnapshot{Index: 5, Term: 4, Membership: members(), Data: []byte("five")}},
		{
			Snapshot: &deck.LogSnapshot{Index: 8, Term: 4, Membership: members(), Data: []byte("eight")},
			Entries:  []deck.LogEntry{command(9, 4)},
		},
		{Snapshot: &deck.LogSnapshot{Index: 20, Term: 5, Membership: members()}, Ballot: &deck.Ballot{Term: 5}},
		{Entries: []deck.LogEntry{command(21, 5)}},
	}
}

// conflictingSnapshot is the position in history of a snapshot that replaces the stored entry at its index.
const conflictingSnapshot = 6

// TestStorageContract guards against storages whose content differs after the same writes.
func TestStorageContract(t *testing.T) {
	osFiles, err := OpenOSFiles(t.TempDir())
	is.New(t).NoErr(err)
	memoryFiles := &MemoryFiles{}
	self := deck.ReplicaID{VM: "a", Incarnation: 7}
	kept, faulty := NewMemory(self), &FaultyStorage{Storage: NewMemory(self)}
	storages := map[string]func() (deck.Storage, error){
		"files":           func() (deck.Storage, error) { return Open(testOptions(osFiles)) },
		"files in memory": func() (deck.Storage, error) { return Open(testOptions(memoryFiles)) },
		"memory":          func() (deck.Storage, error) { return kept, nil },
		"without a fault": func() (deck.Storage, error) { return faulty, nil },
	}
	for name, open := range storages {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			model := NewMemory(self)
			for i, w := range history() {
				s, err := open()
				is.NoErr(err)
				is.NoErr(s.Save(w))
				is.NoErr(s.Close())
				is.NoErr(model.Save(w))
				got := reload(t, open)
				want, _ := model.Load()
				is.Equal(fmt.Sprintf("%+v", got), fmt.Sprintf("%+v", want))
				if i == conflictingSnapshot {
					is.Equal(len(got.Entries), 0) // entry 6 follows an entry 5 that the snapshot replaced
				}
			}
			got, _ := model.Load()
			is.Equal(len(got.Entries), 1)
			is.Equal(got.Snapshot.Index, uint64(20))
		})
	}
}

func reload(t *testing.T, open func() (deck.Storage, error)) deck.StoredLog {
	is := is.New(t)
	s, err := open()
	is.NoErr(err)
	got, err := s.Load()
	is.NoErr(err)
	is.NoErr(s.Close())
	return got
}

// TestCrashAtEveryOperation guards against a sequence of file operations that loses a confirmed write or cannot be recovered
// from. A crash prevents the n-th operation, for every n and for several lengths of torn ends.
func TestCrashAtEveryOperation(t *testing.T) {
	for _, tornBytes := range []int{0, 1, 15, 17, 40, 1 << 20} {
		for n := 1; ; n++ {
			files := &MemoryFiles{}
			done, crashed := writeUntilFault(files, n, errInjected)
			files.Fault = nil
			files.Crash(tornBytes)
			s, err := Open(testOptions(files))
			if err != nil {
				t.Fatalf("crash at operation %d, %d bytes torn: %v", n, tornBytes, err)
			}
			got, _ := s.Load()
			if text := fmt.Sprintf("%+v", got); !slices.Contains(possibleStates(done), text) {
				t.Fatalf("crash at operation %d, %d bytes torn, after %d writes: %s", n, tornBytes, done, text)
			}
			if !crashed {
				break
			}
		}
	}
}

// writeUntilFault makes the writes of history until the n-th operation fails and returns how many were confirmed.
func writeUntilFault(files *MemoryFiles, n int, failure error) (done int, crashed bool) {
	files.Fault = func(Operation) error {
		if n--; n <= 0 {
			crashed = true
			return failure
		}
		return nil
	}
	s, err := Open(testOptions(files))
	if err != nil {
		return 0, crashed
	}
	for _, w := range history() {
		if s.Save(w) != nil {
			return done, crashed
		}
		done++
	}
	return done, crashed
}

// possibleStates returns the possible contents of the storage after the writes and a crash during the next one.
func possibleStates(writes int) []string {
	states := []string{stateAfter(writes)}
	if next := history()[writes:]; len(next) > 0 {
		snapshotOnly := deck.LogWrite{Snapshot: next[0].Snapshot}
		states = append(states, stateAfter(writes, next[0]), stateAfter(writes, snapshotOnly))
	}
	return states
}

func stateAfter(writes int, more ...deck.LogWrite) string {
	m := NewMemory(deck.ReplicaID{VM: "a", Incarnation: 7})
	for _, w := range append(history()[:writes], more...) {
		_ = m.Save(w)
	}
	s, _ := m.Load()
	return fmt.Sprintf("%+v", s)
}

// TestFailedSaveIsFinal guards against a retry after a failed sync, which could confirm lost data.
func TestFailedSaveIsFinal(t *testing.T) {
	tests := map[string]struct {
		kind OperationKind
		err  error
	}{
		"failed sync":        {SyncOperation, errInjected},
		"full at the sync":   {SyncOperation, ErrDiskFull},
		"failed write":       {WriteOperation, errInjected},
		"failed folder sync": {SyncDirOperation, errInjected},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			files := &MemoryFiles{}
			s, err := Open(testOptions(files))
			is.NoErr(err)
			is.NoErr(s.Save(history()[0]))
			files.Fault = func(op Operation) error {
				if op.Kind == tt.kind {
					return tt.err
				}
				return nil
			}
			w := history()[4]
			w.Snapshot.Index = 0 // so that it requires no stored entries
			is.True(errors.Is(s.Save(w), tt.err))
			files.Fault = nil
			is.True(errors.Is(s.Save(deck.LogWrite{Ballot: &deck.Ballot{Term: 9}}), tt.err)) // not retried
		})
	}
}

// TestFullDiskIsRetried guards against a storage that saves nothing more after its disk was full for a while, and against one that
// loses or repeats a write then. The disk is full from the n-th operation on that takes space, for every n, until a number of attempts have
// failed; after that the process may end at any operation.
func TestFullDiskIsRetried(t *testing.T) {
	const attempts = 3
	for n := 1; ; n++ {
		files := &MemoryFiles{}
		taken, full := 0, false
		files.Fault = func(op Operation) error {
			if op.Kind != CreateOperation && op.Kind != WriteOperation && op.Kind != RenameOperation {
				return nil
			}
			taken++
			if full = taken >= n && taken < n+attempts; full {
				return ErrDiskFull
			}
			return nil
		}
		s := openWithRoom(t, files)
		confirmed := 0
		for i, w := range history() {
			err := s.Save(w)
			for tries := 0; errors.Is(err, deck.ErrDiskFull) && tries < attempts; tries++ {
				checkRecovery(t, files, i)
				err = s.Save(w)
			}
			if err != nil {
				t.Fatalf("disk full from operation %d on, write %d: %v", n, i, err)
			}
			confirmed++
		}
		is.New(t).NoErr(s.Close())
		got := reload(t, func() (deck.Storage, error) { return Open(testOptions(files)) })
		is.New(t).Equal(fmt.Sprintf("%+v", got), stateAfter(confirmed))
		if taken < n {
			return
		}
	}
}

// openWithRoom opens the storage once the disk has room.
func openWithRoom(t *testing.T, files *MemoryFiles) *Store {
	t.Helper()
	for {
		s, err := Open(testOptions(files))
		if err == nil {
			return s
		}
		if !errors.Is(err, deck.ErrDiskFull) {
			t.Fatal(err)
		}
	}
}

// checkRecovery checks that a process which ends now finds the confirmed writes, and perhaps the next one, after its restart.
func checkRecovery(t *testing.T, files *MemoryFiles, confirmed int) {
	t.Helper()
	for _, tornBytes := range []int{0, 15, 1 << 20} {
		crashed := cloneFiles(files)
		crashed.Crash(tornBytes)
		s, err := Open(testOptions(crashed))
		if err != nil {
			t.Fatalf("crash after %d writes: %v", confirmed, err)
		}
		got, _ := s.Load()
		if text := fmt.Sprintf("%+v", got); !slices.Contains(possibleStates(confirmed), text) {
			t.Fatalf("crash after %d writes: %s", confirmed, text)
		}
	}
}

// cloneFiles returns a copy of the files without their Fault and lock.
func cloneFiles(m *MemoryFiles) *MemoryFiles {
	m.mu.Lock()
	defer m.mu.Unlock()
	copies := make(map[*memoryContent]*memoryContent)
	copyNames := func(names map[string]*memoryContent) map[string]*memoryContent {
		out := make(map[string]*memoryContent, len(names))
		for name, c := range names {
			if copies[c] == nil {
				copies[c] = &memoryContent{data: slices.Clone(c.data), synced: slices.Clone(c.synced)}
			}
			out[name] = copies[c]
		}
		return out
	}
	return &MemoryFiles{names: copyNames(m.names), durable: copyNames(m.durable)}
}

// TestTornEndIsDropped guards against a replica that does not start after an interrupted write, which may end at any byte.
func TestTornEndIsDropped(t *testing.T) {
	whole := logAfter(t, 4)
	before := len(logAfter(t, 3).names[logName(0)].data)
	for size := before; size < len(whole.names[logName(0)].data); size++ {
		files := logAfter(t, 4)
		files.names[logName(0)].data = files.names[logName(0)].data[:size]
		s, err := Open(testOptions(files))
		if err != nil {
			t.Fatalf("log cut to %d bytes: %v", size, err)
		}
		got, _ := s.Load()
		is.New(t).Equal(fmt.Sprintf("%+v", got), stateAfter(3))
		is.New(t).NoErr(s.Save(history()[3]))
		is.New(t).NoErr(s.Close())
		got = reload(t, func() (deck.Storage, error) { return Open(testOptions(files)) })
		is.New(t).Equal(fmt.Sprintf("%+v", got), stateAfter(4))
	}
}

// logAfter returns the files after the first writes of history.
func logAfter(t *testing.T, writes int) *MemoryFiles {
	files := &MemoryFiles{}
	s, err := Open(testOptions(files))
	is.New(t).NoErr(err)
	for _, w := range history()[:writes] {
		is.New(t).NoErr(s.Save(w))
	}
	is.New(t).NoErr(s.Close())
	return files
}

// TestCorruptionIsDetected guards against a damaged record that is mistaken for a torn end. Each byte before the last record is
// damaged in turn.
func TestCorruptionIsDetected(t *testing.T) {
	records := []int{0}
	for writes := 1; writes <= 4; writes++ {
		records = append(records, len(logAfter(t, writes).names[logName(0)].data))
	}
	for offset := range records[3] {
		files := logAfter(t, 4)
		files.CorruptByte(logName(0), offset)
		_, err := Open(testOptions(files))
		var corrupt CorruptionError
		if !errors.As(err, &corrupt) || corrupt.File != logName(0) || !slices.Contains(records, int(corrupt.Offset)) ||
			int(corrupt.Offset) > offset {
			t.Fatalf("damage at byte %d: %v", offset, err)
		}
	}
}

// TestInvalidFolderIsRejected guards against opening a data folder that is in use, lost a file, has a damaged file, or belongs to
// another replica.
func TestInvalidFolderIsRejected(t *testing.T) {
	tests := map[string]struct {
		modify func(f *MemoryFiles, o *Options)
		want   string
	}{
		"other replica":    {func(_ *MemoryFiles, o *Options) { o.VM = "b" }, "belongs to replica a/"},
		"other deployment": {func(_ *MemoryFiles, o *Options) { o.Deployment = "x" }, `of deployment "test"`},
		"in use":           {func(f *MemoryFiles, _ *Options) { f.locked = true }, "in use"},
		"no identity":      {func(f *MemoryFiles, _ *Options) { delete(f.names, identityName) }, "identity is corrupt"},
		"damaged identity": {func(f *MemoryFiles, _ *Options) { f.CorruptByte(identityName, 20) }, "identity is corrupt"},
		"no log":           {func(f *MemoryFiles, _ *Options) { delete(f.names, logName(20)) }, "log-* is corrupt"},
		"no snapshot":      {func(f *MemoryFiles, _ *Options) { delete(f.names, snapshotName(20)) }, "missing"},
		"damaged snapshot": {func(f *MemoryFiles, _ *Options) { f.CorruptByte(snapshotName(20), 30) }, snapshotName(20)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			files := logAfter(t, len(history()))
			o := testOptions(files)
			tt.modify(files, &o)
			_, err := Open(o)
			if err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Fatalf("got %v, want %q", err, tt.want)
			}
		})
	}
}

// TestFolderLock guards against two processes that write to one data folder.
func TestFolderLock(t *testing.T) {
	is := is.New(t)
	files, err := OpenOSFiles(t.TempDir())
	is.NoErr(err)
	s, err := Open(testOptions(files))
	is.NoErr(err)
	_, err = Open(testOptions(files))
	is.True(err != nil)
	is.NoErr(s.Close())
}

// TestEmptyFolderGetsNewIdentity guards against a replica that lost its disk and continues under its old identity.
func TestEmptyFolderGetsNewIdentity(t *testing.T) {
	is := is.New(t)
	var ids []deck.ReplicaID
	for range 2 {
		files := &MemoryFiles{}
		open := func() (deck.Storage, error) { return Open(Options{Files: files, Deployment: "test", VM: "a"}) }
		first := reload(t, open).ID
		is.Equal(reload(t, open).ID, first) // stored in the folder
		ids = append(ids, first)
	}
	is.True(ids[0] != ids[1])
}
