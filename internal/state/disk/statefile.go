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
	stateName     = "state"
	stateTempName = "state.new"
	checksumBytes = 4
)

// A StateFile keeps the state in force in one file, so that a VM that restarts in a partition does not fall back to an
// older state.
type StateFile struct {
	Folder string
}

// Load returns the saved state; ok is false if there is none.
func (f StateFile) Load() (s deck.State, ok bool, err error) {
	name := filepath.Join(f.Folder, stateName)
	data, err := os.ReadFile(name)
	if errors.Is(err, os.ErrNotExist) {
		return deck.State{}, false, nil
	}
	if err != nil {
		return deck.State{}, false, errors.Wrap(err, "state file")
	}
	if len(data) < checksumBytes {
		return deck.State{}, false, CorruptionError{File: name, Reason: "file is shorter than its checksum"}
	}
	sum, body := data[:checksumBytes], data[checksumBytes:]
	if string(sum) != string(checksum(body)) {
		return deck.State{}, false, CorruptionError{File: name, Reason: "checksum does not match"}
	}
	s, err = ticket.DecodeState(body)
	return s, err == nil, errors.Wrap(err, name)
}

// Save replaces the saved state durably: the new file is synced before it takes the old one's name.
func (f StateFile) Save(s deck.State) error {
	if err := os.MkdirAll(f.Folder, 0o700); err != nil {
		return errors.Wrap(err, "state file")
	}
	body := ticket.EncodeState(s)
	temp := filepath.Join(f.Folder, stateTempName)
	if err := writeSynced(temp, append(checksum(body), body...)); err != nil {
		return err
	}
	if err := os.Rename(temp, filepath.Join(f.Folder, stateName)); err != nil {
		return errors.Wrap(err, "state file")
	}
	return syncFolder(f.Folder)
}

func checksum(body []byte) []byte {
	sum := crc32.Checksum(body, crc32.MakeTable(crc32.Castagnoli))
	return []byte{byte(sum >> 24), byte(sum >> 16), byte(sum >> 8), byte(sum)}
}

func writeSynced(name string, data []byte) error {
	w, err := os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "state file")
	}
	_, err = w.Write(data)
	if err == nil {
		err = w.Sync()
	}
	return errors.Wrap(errors.CombineErrors(err, w.Close()), "state file")
}

func syncFolder(name string) error {
	d, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "state file")
	}
	return errors.Wrap(errors.CombineErrors(d.Sync(), d.Close()), "state file")
}
