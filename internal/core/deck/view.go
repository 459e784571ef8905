package deck

import (
	"context"
	"time"
)

// A ViewVersion orders the states of the list of backend servers that one leader hands out.
type ViewVersion struct {
	Term   uint64 // of the leader that made the list; versions of different terms can't be compared
	Number uint64
}

// A ViewRequest asks for what has changed and reports what an entry VM has seen.
type ViewRequest struct {
	VM         VMName
	DataCentre DataCentre
	Config     uint64 // version of the routing configuration that the VM has; 0 for none
	AnyConfig  bool   // the VM takes a configuration from a replica that may be behind
	View       ViewVersion
	Wait       time.Duration // how long the answer may wait for a change
	Demand     []CallDemand
	Running    []AdapterRun
	Calls      []ServerCalls // that this VM has at servers now
	Crashes    []Crash
	Broke      []BackendName // servers that broke connections since the last report
	Answered   []BackendName // servers that gave a whole answer since the last report
}

// A ServerCalls is how many calls are at a backend server.
type ServerCalls struct {
	Server BackendName
	Calls  int
}

// An AdapterRun is an adapter that runs of the reporting VM use now.
type AdapterRun struct {
	Server BackendName
	AdapterRef
}

// A CallDemand is the work that callers asked of a model or adapter since the last report.
type CallDemand struct {
	Service ServiceName
	Model   ModelName
	Adapter AdapterName
	Tokens  int // that may be generated
}

// A Crash is a backend server that broke off while it had a request.
type Crash struct {
	Request uint64 // fingerprint of path and body
	Server  BackendName
}

// A ViewAnswer is what has changed since the request's versions.
type ViewAnswer struct {
	Leading bool // the answering VM leads the replicated log
	Leader  VMName
	Members []VMName        // of the replicated log
	Config  *PackedDocument // nil if the VM has the newest
	View    ViewVersion
	Whole   bool // Servers replaces the whole list
	Servers []Server
	Gone    []BackendName
	VMs     int           // entry VMs that ask the leader
	Calls   []ServerCalls // of all entry VMs together, as each last reported
	Crashes []Crash
}

// A PackedDocument is a routing document as a difference from one that the receiver has.
type PackedDocument struct {
	Version uint64
	Base    uint64 // version that the receiver needs; 0 for none
	Data    []byte
}

// A ViewSource answers entry VMs.
type ViewSource interface {
	// View waits for a change if this VM leads, and else answers at once.
	View(ctx context.Context, r ViewRequest) ViewAnswer
}

// A ViewClient asks another VM.
type ViewClient interface {
	// AskView sends the request to the VM.
	AskView(ctx context.Context, to VMName, r ViewRequest) (ViewAnswer, error)
}
