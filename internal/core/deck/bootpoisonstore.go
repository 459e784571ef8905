package deck

import "context"

// A BootPoisonStore is a PoisonStore that tells the crashes of a backend server apart by its boot id, so that several
// reports of one crash count once.
type BootPoisonStore interface {
	PoisonStore

	// ReportCrashOf is ReportCrash for the backend server process with the given boot id; empty if unknown.
	ReportCrashOf(ctx context.Context, digest string, backend BackendName, bootID string, alone bool) error
}
