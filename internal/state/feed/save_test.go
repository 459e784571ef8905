package feed

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/test/decktest"
)

// A fullSaver is a Saver whose disk may be full.
type fullSaver struct {
	full  bool
	saved deck.State
	saves int
}

// Save implements Saver.Save.
func (s *fullSaver) Save(state deck.State) error {
	s.saves++
	if s.full {
		return errors.New("no space left on device")
	}
	s.saved = state
	return nil
}

// TestStateIsSavedOnceTheDiskHasRoom guards against a VM that reverts to an earlier state when it restarts, because its disk was full when
// the state changed and nothing has changed since.
func TestStateIsSavedOnceTheDiskHasRoom(t *testing.T) {
	is := is.New(t)
	saver := &fullSaver{full: true}
	s := NewStore("a", &decktest.ManualClock{}, saver, deck.State{}, false)
	s.Install(deck.State{}.WithTicket(deck.Ticket{}, 3))
	s.SaveAgain()
	is.Equal(s.SaveErrors(), uint64(2))
	saver.full = false
	s.SaveAgain()
	is.Equal(saver.saved.Version(), uint64(3))
	saves := saver.saves
	s.SaveAgain() // nothing is left to save
	is.Equal(saver.saves, saves)
}
