package disk

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Guards against a restart that reverts to an older state or loads a damaged file.
func TestStateFile(t *testing.T) {
	is := is.New(t)
	f := StateFile{Folder: filepath.Join(t.TempDir(), "s")}
	_, ok, err := f.Load()
	is.NoErr(err)
	is.True(!ok)
	is.NoErr(f.Save(deck.State{}.WithTicket(deck.Ticket{Models: []deck.Model{{Name: "m"}}}, 7)))
	is.NoErr(f.Save(deck.State{}.WithTicket(deck.Ticket{Models: []deck.Model{{Name: "n"}}}, 9)))
	s, ok, err := f.Load()
	is.NoErr(err)
	is.True(ok)
	is.Equal(s.Version(), uint64(9))
	name := filepath.Join(f.Folder, stateName)
	data, err := os.ReadFile(name)
	is.NoErr(err)
	data[len(data)/2] ^= 1
	is.NoErr(os.WriteFile(name, data, 0o600))
	_, ok, err = f.Load()
	is.True(err != nil)
	is.True(!ok)
}
