package feed

import (
	"io/fs"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/ticket"
)

// stateFile is the name of the state in force in the data folder.
const stateFile = "state-in-force.json"

// A FileSaver keeps the state in force in a data folder.
type FileSaver struct {
	Folder string
}

var _ Saver = FileSaver{}

// Save implements Saver.Save. The file is replaced as a whole: written beside the old one, synced, renamed, and the
// folder synced.
func (f FileSaver) Save(s deck.State) error {
	path := filepath.Join(f.Folder, stateFile)
	if err := writeSynced(path+".new", ticket.EncodeState(s)); err != nil {
		return errors.Wrap(err, "save state")
	}
	if err := os.Rename(path+".new", path); err != nil {
		return errors.Wrap(err, "save state")
	}
	return errors.Wrap(syncFolder(f.Folder), "save state")
}

// Load returns the saved state; ok is false if there is none.
func (f FileSaver) Load() (s deck.State, ok bool, err error) {
	data, err := os.ReadFile(filepath.Join(f.Folder, stateFile))
	if errors.Is(err, fs.ErrNotExist) {
		return deck.State{}, false, nil
	}
	if err != nil {
		return deck.State{}, false, errors.Wrap(err, "load state")
	}
	s, err = ticket.DecodeState(data)
	return s, err == nil, errors.Wrap(err, "load state")
}

func writeSynced(path string, data []byte) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	return errors.CombineErrors(err, file.Close())
}

func syncFolder(folder string) error {
	d, err := os.Open(folder)
	if err != nil {
		return err
	}
	return errors.CombineErrors(d.Sync(), d.Close())
}
