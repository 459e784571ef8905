package disk

import (
	"hash/crc32"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/ticket"
)

const (
	stateName      = "state"
	blobTempSuffix = ".new"
	checksumBytes  = 4
)

// A StateFile stores the state in force in one file, so that a VM that restarts in a partition does not revert to an older
// state.
type StateFile struct {
	Folder string
}

// Load returns the saved state; ok is false if there is none.
func (f StateFile) Load() (s deck.State, ok bool, err error) {
	body, ok, err := f.blob().Load()
	if err != nil || !ok {
		return deck.State{}, false, err
	}
	s, err = ticket.DecodeState(body)
	return s, err == nil, errors.Wrap(err, f.blob().path())
}

// Save durably replaces the saved state.
func (f StateFile) Save(s deck.State) error {
	return f.blob().Save(ticket.EncodeState(s))
}

func (f StateFile) blob() BlobFile {
	return BlobFile{Folder: f.Folder, Name: stateName}
}

// A BlobFile stores bytes with a checksum in one file.
type BlobFile struct {
	Folder string
	Name   string
}

// Load returns the saved bytes; ok is false if there are none.
func (f BlobFile) Load() (body []byte, ok bool, err error) {
	data, err := os.ReadFile(f.path())
	if errors.Is(err, os.ErrNotExist) {
		return nil, false, nil
	}
	if err != nil {
		return nil, false, errors.Wrap(err, "read saved file")
	}
	if len(data) < checksumBytes {
		return nil, false, CorruptionError{File: f.path(), Reason: "file is shorter than its checksum"}
	}
	sum, body := data[:checksumBytes], data[checksumBytes:]
	if string(sum) != string(checksum(body)) {
		return nil, false, CorruptionError{File: f.path(), Reason: "checksum mismatch"}
	}
	return body, true, nil
}

// Save durably replaces the saved bytes: the new file is synced before it is renamed to the old one's name.
func (f BlobFile) Save(body []byte) error {
	if err := os.MkdirAll(f.Folder, 0o700); err != nil {
		return errors.Wrap(err, "create folder of saved file")
	}
	temp := f.path() + blobTempSuffix
	if err := writeSynced(temp, append(checksum(body), body...)); err != nil {
		return err
	}
	if err := os.Rename(temp, f.path()); err != nil {
		return errors.Wrap(err, "replace saved file")
	}
	return syncFolder(f.Folder)
}

func (f BlobFile) path() string {
	return filepath.Join(f.Folder, f.Name)
}

func checksum(body []byte) []byte {
	sum := crc32.Checksum(body, crc32.MakeTable(crc32.Castagnoli))
	return []byte{byte(sum >> 24), byte(sum >> 16), byte(sum >> 8), byte(sum)}
}

func writeSynced(name string, data []byte) error {
	w, err := os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "create saved file")
	}
	_, err = w.Write(data)
	if err == nil {
		err = w.Sync()
	}
	return errors.Wrap(errors.CombineErrors(err, w.Close()), "write saved file")
}

func syncFolder(name string) error {
	d, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "open folder of saved file")
	}
	return errors.Wrap(errors.CombineErrors(d.Sync(), d.Close()), "sync folder of saved file")
}
