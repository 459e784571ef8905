package deck

import "context"

// A VMStatus is a row of the platform's lagging list of VMs.
type VMStatus struct {
	VM      string // name of a VM of the system or of a backend server
	Leaving bool
}

// A VMList is the platform's list of live and leaving VMs.
type VMList interface {
	// List returns the VMs that the platform believes to be live.
	List(ctx context.Context) ([]VMStatus, error)
}

// A WeightStore is the rate-limited store of model weights.
type WeightStore interface {
	// Status returns the number of loads in flight and the limit on them.
	Status(ctx context.Context) (inFlight, limit int, err error)
}
