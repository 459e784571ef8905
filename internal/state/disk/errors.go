package disk

import (
	"fmt"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A CorruptionError reports that a file is damaged at an offset in bytes, other than by a torn write at its end.
type CorruptionError struct {
	File   string
	Offset int64
	Reason string
}

// Error implements error.
func (e CorruptionError) Error() string {
	return fmt.Sprintf("file %s is corrupt at offset %d: %s", e.File, e.Offset, e.Reason)
}

// A ForeignFolderError reports that a data folder belongs to another replica or deployment.
type ForeignFolderError struct {
	Deployment string
	Replica    deck.ReplicaID
}

// Error implements error.
func (e ForeignFolderError) Error() string {
	return fmt.Sprintf("data folder belongs to replica %s of deployment %q", e.Replica, e.Deployment)
}
