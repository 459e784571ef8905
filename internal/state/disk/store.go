package disk

import (
	"crypto/rand"
	"encoding/binary"
	"io"
	"slices"

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
	saveErr       error
}

var _ deck.Storage = (*Store)(nil)

// Open opens the data folder; at the first start it chooses the replica's incarnation.
func Open(o Options) (*Store, error) {
	lock, err := o.Files.Lock()
	if err != nil {
		return nil, err
	}
	s := &Store{files: o.Files, lock: lock}
	if err := s.open(o); err != nil {
		return nil, errors.CombineErrors(err, lock.Close())
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
// pages and may report the next sync as successful.
func (s *Store) Save(w deck.LogWrite) error {
	if s.saveErr != nil {
		return s.saveErr
	}
	if err := s.save(w); err != nil {
		s.saveErr = err
	}
	return s.saveErr
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
	if _, err := s.log.Write(newFrame(payload)); err != nil {
		return errors.Wrap(err, "write log")
	}
	return errors.Wrap(s.log.Sync(), "sync log")
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
	if err := s.writeFile(name, newFrame(payload)); err != nil {
		return err
	}
	f, err := s.files.Append(name)
	if err != nil {
		return errors.Wrapf(err, "open %s", name)
	}
	oldLog := s.log
	s.log = f
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

// writeFile durably creates or replaces a file: it writes and syncs a temporary file, renames it, and syncs the folder.
func (s *Store) writeFile(name string, data []byte) error {
	f, err := s.files.Create(name + temporarySuffix)
	if err != nil {
		return errors.Wrapf(err, "create %s", name)
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if err := errors.CombineErrors(err, f.Close()); err != nil {
		return errors.Wrapf(err, "write %s", name)
	}
	if err := s.files.Rename(name+temporarySuffix, name); err != nil {
		return errors.Wrapf(err, "rename to %s", name)
	}
	return errors.Wrap(s.files.SyncDir(), "sync data folder")
}

// Close implements deck.Storage.Close.
func (s *Store) Close() error {
	return errors.CombineErrors(s.log.Close(), s.lock.Close())
}
