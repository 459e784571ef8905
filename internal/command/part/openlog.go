package part

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/state/disk"
)

// roomCheckInterval is the time between two attempts to open a data folder on a full disk.
const roomCheckInterval = 200 * time.Millisecond

// OpenLog opens a replica's log in a folder. While the disk is full it waits for room instead of ending the process, which would start
// again to the same.
func OpenLog(folder string, o disk.Options, log logr.Logger) (*disk.Store, error) {
	return waitForRoom(log, func() (*disk.Store, error) {
		files, err := disk.OpenOSFiles(folder)
		if err != nil {
			return nil, err
		}
		o.Files = files
		return disk.Open(o)
	})
}

// waitForRoom calls open until it returns something else than deck.ErrDiskFull.
func waitForRoom[T any](log logr.Logger, open func() (T, error)) (T, error) {
	for attempts := 0; ; attempts++ {
		opened, err := open()
		if !errors.Is(err, deck.ErrDiskFull) {
			return opened, errors.Wrap(err, "open log in data folder")
		}
		if attempts == 0 {
			log.Info("the disk is full; waiting for room to open the log", "reason", err.Error())
		}
		deck.Sleep(context.Background(), roomCheckInterval)
	}
}
