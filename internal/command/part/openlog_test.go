package part

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// TestFullDiskAtTheStart guards against a process that ends again and again because its disk is full when it starts, and against one that
// waits for anything else.
func TestFullDiskAtTheStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		room := time.Now().Add(3 * time.Second)
		opened, err := waitForRoom(logr.Discard(), func() (bool, error) {
			if time.Now().Before(room) {
				return false, errors.Mark(errors.New("create identity"), deck.ErrDiskFull)
			}
			return true, nil
		})
		is.NoErr(err)
		is.True(opened && time.Since(room) < time.Second)

		other := errors.New("another folder's identity")
		_, err = waitForRoom(logr.Discard(), func() (bool, error) { return false, other })
		is.True(errors.Is(err, other))
	})
}
