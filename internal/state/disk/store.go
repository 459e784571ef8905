package disk

import (
	"crypto/rand"
	"encoding/binary"
	"io"
	"slices"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/replication"
)

// Options configure the data folder that a store opens and the replica that the folder must belong to.
type Options struct {
	Files       deck.FileSystem
	Deployment  string
	VM          deck.VMName
	Incarnation func() uint64 // called at the first start; nil for a random number
}

// A Store is the storage of one replica in a data folder.
type Store struct {
	files         deck.FileSystem
	lock          io.Closer
	loaded        deck.StoredLog
	ballot        deck.Ballot
	snapshotIndex uint64          // index of the current snapshot
	entries       []deck.LogEntry // after the snapshot
	log           deck.File
	logBytes      int64 // size of the log, without what an interrupted write has left
	saveErr       error
}

var _ deck.Storage = (*Store)(nil)

// Open opens the data folder; at the first start it chooses the replica's incarnation. After deck.ErrDiskFull it may be called again.
func Open(o Options) (*Store, error) {
	lock, err := o.Files.Lock()
	if err != nil {
		return nil, markFull(err)
	}
	s := &Store{files: o.Files, lock: lock}
	if err := s.open(o); err != nil {
		if s.log != nil {
			err = errors.CombineErrors(err, s.log.Close())
		}
		return nil, markFull(errors.CombineErrors(err, lock.Close()))
	}
	return s, nil
}

func (s *Store) open(o Options) error {
	names, err := s.files.List()
	if err != nil {
		return err
	}
	if err := s.checkIdentity(o, names); err != nil {
		return err
	}
	return s.recover(names)
}

// checkIdentity checks that the folder belongs to this replica, and initialises an empty folder for it.
func (s *Store) checkIdentity(o Options, names []string) error {
	if !slices.Contains(names, identityName) {
		return s.initialise(o, names)
	}
	payload, err := s.readFrameFile(identityName)
	if err != nil {
		return err
	}
	deployment, id, err := replication.DecodeReplica(payload)
	if err != nil {
		return CorruptionError{File: identityName, Reason: err.Error()}
	}
	if deployment != o.Deployment || id.VM != o.VM {
		return ForeignFolderError{Deployment: deployment, Replica: id}
	}
	s.loaded.ID = id
	return nil
}

// initialise creates an empty log and then the identity, so that a folder with an identity always has a log.
func (s *Store) initialise(o Options, names []string) error {
	if err := s.rejectOrphanedFiles(names); err != nil {
		return err
	}
	if err := s.writeFile(logName(0), nil); err != nil {
		return err
	}
	newIncarnation := o.Incarnation
	if newIncarnation == nil {
		newIncarnation = randomIncarnation
	}
	s.loaded.ID = deck.ReplicaID{VM: o.VM, Incarnation: newIncarnation()}
	payload, err := replication.EncodeReplica(o.Deployment, s.loaded.ID)
	if err != nil {
		return err
	}
	return s.writeFile(identityName, newFrame(payload))
}

// rejectOrphanedFiles returns an error if the folder has lost its identity but not its log.
func (s *Store) rejectOrphanedFiles(names []string) error {
	for _, name := range names {
		if !isStoreFile(name) || isTemporary(name) {
			continue
		}
		data, err := s.files.Read(name)
		if err != nil {
			return errors.Wrapf(err, "read %s", name)
		}
		if len(data) > 0 {
			return CorruptionError{File: identityName, Reason: "missing although the folder holds " + name}
		}
	}
	return nil
}

func randomIncarnation() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails, see crypto/rand
	return max(1, binary.LittleEndian.Uint64(b[:]))
}

// Load implements deck.Storage.Load.
func (s *Store) Load() (deck.StoredLog, error) {
	return s.loaded, nil
}

// Save implements deck.Storage.Save.
//
// After an error nothing is retried and every later call returns that error: after a failed sync the kernel may have dropped the
// pages and may report the next sync as successful. A full disk is the exception, as long as it shows before the sync.
func (s *Store) Save(w deck.LogWrite) error {
	if s.saveErr != nil {
		return s.saveErr
	}
	ballot, snapshotIndex, entries := s.ballot, s.snapshotIndex, s.entries
	err := s.save(w)
	if errors.Is(err, deck.ErrDiskFull) {
		s.ballot, s.snapshotIndex, s.entries = ballot, snapshotIndex, entries
		if truncateErr := s.log.Truncate(s.logBytes); truncateErr == nil {
			return err
		}
	}
	s.saveErr = err
	return err
}

func (s *Store) save(w deck.LogWrite) error {
	if w.Ballot != nil {
		s.ballot = *w.Ballot
	}
	if w.Snapshot != nil {
		return s.saveSnapshot(w)
	}
	s.replaceEntries(w.Entries)
	return s.appendRecord(w)
}

// replaceEntries replaces the entries in memory from the index of the first given entry on.
func (s *Store) replaceEntries(entries []deck.LogEntry) {
	if len(entries) == 0 {
		return
	}
	keep := entries[0].Index - s.snapshotIndex - 1
	s.entries = append(s.entries[:keep:keep], entries...)
}

func (s *Store) appendRecord(w deck.LogWrite) error {
	payload, err := replication.EncodeRecord(w)
	if err != nil {
		return err
	}
	frame := newFrame(payload)
	if _, err := s.log.Write(frame); err != nil {
		return errors.Wrap(markFull(err), "write log")
	}
	if err := s.log.Sync(); err != nil {
		return errors.Wrap(err, "sync log")
	}
	s.logBytes += int64(len(frame))
	return nil
}

// saveSnapshot writes the snapshot and a new log without the entries that the snapshot covers, and removes the old files.
func (s *Store) saveSnapshot(w deck.LogWrite) error {
	payload, err := replication.EncodeSnapshot(*w.Snapshot)
	if err != nil {
		return err
	}
	if err := s.writeFile(snapshotName(w.Snapshot.Index), newFrame(payload)); err != nil {
		return err
	}
	oldIndex := s.snapshotIndex
	s.entries = entriesAfter(s.entries, s.snapshotIndex, *w.Snapshot)
	s.snapshotIndex = w.Snapshot.Index
	s.replaceEntries(w.Entries)
	if err := s.writeLog(); err != nil {
		return err
	}
	return s.removeGeneration(oldIndex)
}

// entriesAfter returns the entries after the snapshot if they continue it, that is, if the entry at its index has its term. The
// first of the entries has the index base+1.
func entriesAfter(entries []deck.LogEntry, base uint64, snapshot deck.LogSnapshot) []deck.LogEntry {
	if snapshot.Index <= base {
		return entries
	}
	i := snapshot.Index - base - 1
	if i >= uint64(len(entries)) || entries[i].Term != snapshot.Term {
		return nil
	}
	return slices.Clone(entries[i+1:])
}

// writeLog writes a new log file for the current snapshot and switches to it.
func (s *Store) writeLog() error {
	payload, err := replication.EncodeRecord(deck.LogWrite{Ballot: &s.ballot, Entries: s.entries})
	if err != nil {
		return err
	}
	name := logName(s.snapshotIndex)
	frame := newFrame(payload)
	if err := s.writeFile(name, frame); err != nil {
		return err
	}
	f, err := s.files.Append(name)
	if err != nil {
		return errors.Wrapf(err, "open %s", name)
	}
	oldLog := s.log
	s.log, s.logBytes = f, int64(len(frame))
	if oldLog == nil {
		return nil
	}
	return errors.Wrap(oldLog.Close(), "close old log")
}

// removeGeneration removes the log and the snapshot file of an older snapshot index.
func (s *Store) removeGeneration(index uint64) error {
	if index == s.snapshotIndex {
		return nil
	}
	if err := s.files.Remove(logName(index)); err != nil {
		return errors.Wrap(err, "remove old log")
	}
	if index == 0 {
		return nil
	}
	return errors.Wrap(s.files.Remove(snapshotName(index)), "remove old snapshot")
}

// writeFile durably creates or replaces a file: it writes and syncs a temporary file, renames it, and syncs the folder. After
// deck.ErrDiskFull the file is unchanged.
func (s *Store) writeFile(name string, data []byte) error {
	if err := s.writeTemporary(name+temporarySuffix, data); err != nil {
		return errors.Wrapf(err, "write %s", name)
	}
	if err := s.files.Rename(name+temporarySuffix, name); err != nil {
		return errors.Wrapf(markFull(err), "rename to %s", name)
	}
	return errors.Wrap(s.files.SyncDir(), "sync data folder")
}

// writeTemporary writes and syncs a file, and removes it if the disk is full.
func (s *Store) writeTemporary(name string, data []byte) error {
	f, err := s.files.Create(name)
	if err != nil {
		return markFull(err)
	}
	if _, err = f.Write(data); err != nil {
		err = markFull(err)
	} else {
		err = f.Sync()
	}
	err = errors.CombineErrors(err, f.Close())
	if errors.Is(err, deck.ErrDiskFull) {
		return errors.CombineErrors(err, s.files.Remove(name))
	}
	return err
}

// markFull marks errors of a full disk, or a used up quota, with deck.ErrDiskFull.
func markFull(err error) error {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return errors.Mark(err, deck.ErrDiskFull)
	}
	return err
}

// Close implements deck.Storage.Close.
func (s *Store) Close() error {
	return errors.CombineErrors(s.log.Close(), s.lock.Close())
}
