package disk

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/wire/replication"
)

const (
	identityName    = "identity"
	logPrefix       = "log-"
	snapshotPrefix  = "snapshot-"
	temporarySuffix = ".tmp"
)

func logName(index uint64) string {
	return fmt.Sprintf("%s%016x", logPrefix, index)
}

func snapshotName(index uint64) string {
	return fmt.Sprintf("%s%016x", snapshotPrefix, index)
}

func isTemporary(name string) bool {
	return strings.HasSuffix(name, temporarySuffix)
}

// isStoreFile reports whether a Store writes files with such a name; other files in the data folder are ignored.
func isStoreFile(name string) bool {
	return strings.HasPrefix(name, identityName) || strings.HasPrefix(name, logPrefix) ||
		strings.HasPrefix(name, snapshotPrefix)
}

// newestIndex returns the highest index among the names with the prefix, without temporary files.
func newestIndex(names []string, prefix string) (index uint64, ok bool) {
	for _, name := range names {
		digits, found := strings.CutPrefix(name, prefix)
		if !found || isTemporary(name) {
			continue
		}
		n, err := strconv.ParseUint(digits, 16, 64)
		if err == nil && (!ok || n > index) {
			index, ok = n, true
		}
	}
	return index, ok
}

// recover loads the snapshot and the log, and removes what interrupted writes left behind.
func (s *Store) recover(names []string) error {
	base, hasLog := newestIndex(names, logPrefix)
	if !hasLog && slices.Contains(names, identityName) {
		return CorruptionError{File: logPrefix + "*", Reason: "missing"}
	}
	if err := s.loadSnapshot(names, base); err != nil {
		return err
	}
	size, err := s.replay(base)
	if err != nil {
		return err
	}
	s.entries = entriesAfter(s.entries, base, s.loaded.Snapshot)
	s.snapshotIndex = s.loaded.Snapshot.Index
	s.loaded.Ballot, s.loaded.Entries = s.ballot, s.entries
	if err := s.openLog(base, size); err != nil {
		return err
	}
	return s.removeStaleFiles()
}

// loadSnapshot reads the newest snapshot. The log of the entries after index base requires a snapshot at base or later.
func (s *Store) loadSnapshot(names []string, base uint64) error {
	index, _ := newestIndex(names, snapshotPrefix)
	if index < base {
		return CorruptionError{File: snapshotName(base), Reason: "missing"}
	}
	if index == 0 {
		return nil
	}
	payload, err := s.readFrameFile(snapshotName(index))
	if err != nil {
		return err
	}
	snapshot, err := replication.DecodeSnapshot(payload)
	if err != nil || snapshot.Index != index {
		return CorruptionError{File: snapshotName(index), Reason: "content does not match the file name"}
	}
	s.loaded.Snapshot = snapshot
	return nil
}

// readFrameFile returns the payload of a file that has exactly one frame. Such a file gets its name only when it is complete, so
// that a torn frame is corruption.
func (s *Store) readFrameFile(name string) ([]byte, error) {
	data, err := s.files.Read(name)
	if err != nil {
		return nil, errors.Wrapf(err, "read %s", name)
	}
	payload, rest, err := nextFrame(data)
	if err != nil || len(rest) > 0 {
		return nil, CorruptionError{File: name, Reason: "expected exactly one complete frame"}
	}
	return payload, nil
}

// replay reads the records of the log and returns the size of its intact part in bytes.
func (s *Store) replay(base uint64) (size int64, err error) {
	name := logName(base)
	data, err := s.files.Read(name)
	if err != nil {
		return 0, errors.Wrapf(err, "read %s", name)
	}
	s.snapshotIndex = base
	for rest := data; len(rest) > 0; {
		size = int64(len(data) - len(rest))
		var payload []byte
		payload, rest, err = nextFrame(rest)
		if errors.Is(err, errTorn) {
			return size, nil
		}
		if err == nil {
			err = s.replayRecord(payload)
		}
		if err != nil {
			return 0, CorruptionError{File: name, Offset: size, Reason: err.Error()}
		}
	}
	return int64(len(data)), nil
}

func (s *Store) replayRecord(payload []byte) error {
	w, err := replication.DecodeRecord(payload)
	if err != nil {
		return err
	}
	if w.Ballot != nil {
		s.ballot = *w.Ballot
	}
	if len(w.Entries) == 0 {
		return nil
	}
	first, last := w.Entries[0].Index, s.snapshotIndex+uint64(len(s.entries))
	if first <= s.snapshotIndex || first > last+1 {
		return errors.Newf("entry %d is out of order after entry %d", first, last)
	}
	s.replaceEntries(w.Entries)
	return nil
}

// openLog opens the log for appending, after truncating its torn end or completing an interrupted compaction.
func (s *Store) openLog(base uint64, size int64) error {
	if base != s.snapshotIndex {
		return s.writeLog()
	}
	f, err := s.files.Append(logName(base))
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	s.log, s.logBytes = f, size
	if err := f.Truncate(size); err != nil {
		return errors.Wrap(err, "truncate log")
	}
	return errors.Wrap(f.Sync(), "sync log")
}

// removeStaleFiles removes the store's files that do not belong to the current snapshot.
func (s *Store) removeStaleFiles() error {
	names, err := s.files.List()
	if err != nil {
		return err
	}
	keep := []string{identityName, logName(s.snapshotIndex), snapshotName(s.snapshotIndex)}
	for _, name := range names {
		if !isStoreFile(name) || slices.Contains(keep, name) {
			continue
		}
		if err := s.files.Remove(name); err != nil {
			return errors.Wrapf(err, "remove %s", name)
		}
	}
	return nil
}
