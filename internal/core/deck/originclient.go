package deck

import (
	"context"

	"github.com/cockroachdb/errors"
)

// ErrInvalidRecords marks errors about records that no ledger keeps, however often they are sent.
var ErrInvalidRecords = errors.New("invalid records of stream origins")

// An OriginClient reaches the OriginLedgers of control VMs.
type OriginClient interface {
	// SendOrigins hands records, of which there may be none, to the ledger of a VM. It returns a number that the VM's process has chosen
	// at its start: another process may not have what the earlier one kept.
	SendOrigins(ctx context.Context, to VMName, records []StreamRecord) (process uint64, err error)

	// AskOrigins returns what the ledger of a VM knows about each of the streams, in their order.
	AskOrigins(ctx context.Context, to VMName, streams []StreamKey) ([]OriginAnswer, error)
}
