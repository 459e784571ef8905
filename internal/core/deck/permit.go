package deck

import (
	"context"
	"time"
)

// A PermitRequest asks for the permission to send one request to a backend server that has named a limit.
type PermitRequest struct {
	VM          VMName
	Server      BackendName
	Incarnation string
	Limit       float64       // requests a second that the server takes from all VMs together
	Age         time.Duration // since the server last named the limit to the VM

	// Ended says instead that the server names no limit any more, by its answer to a request that the VM sent Age ago.
	Ended bool
}

// A PermitAnswer is the answer to a PermitRequest.
type PermitAnswer struct {
	Granted bool
	Wait    time.Duration // before the VM asks again for the same server
	Ended   bool          // another VM has heard since that the server names no limit any more
}

// A PermitSource divides the limits of backend servers among the VMs that ask.
type PermitSource interface {
	// TakePermit asks for one permit. After an error none was granted, as far as the VM knows.
	TakePermit(ctx context.Context, r PermitRequest) (PermitAnswer, error)
}
