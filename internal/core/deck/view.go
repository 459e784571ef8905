package deck

import (
	"context"
	"time"
)

// A ViewVersion is a version of the list of backend servers that a leader publishes.
type ViewVersion struct {
	Term     uint64 // of the leader that made the list; versions of different terms can't be compared
	Revision uint64 // increases with each change of the list
}

// A ViewRequest asks for the changes since the given versions and reports what an entry VM observed.
type ViewRequest struct {
	VM                VMName
	DataCentre        DataCentre
	ConfigVersion     uint64 // version of the routing configuration that the VM has; 0 for none
	AcceptStaleConfig bool   // the VM accepts a configuration from a replica that may be behind
	View              ViewVersion
	MaxWait           time.Duration // how long the answer may be delayed until there is a change
	Demand            []CallDemand
	AdaptersInUse     []AdapterUse  // adapters that calls of this VM use now
	CallsInFlight     []ServerCalls // calls of this VM that are in flight now
	Blame             BlameReport
	BrokenConnections []BackendName   // servers that broke connections since the last report
	Answered          []BackendName   // servers that sent a complete answer since the last report
	Leaving           []LeavingServer // servers that said that they leave, although the list shows them as ready
}

// A ServerCalls is the number of calls in flight at a backend server.
type ServerCalls struct {
	Server BackendName
	Calls  int
	Near   int // of these, the calls of the receiving VM's data centre; 0 in a report
}

// An AdapterUse is an adapter that calls of the reporting VM use at a backend server.
type AdapterUse struct {
	Server BackendName
	AdapterRef
}

// A CallDemand is the work that callers requested from a model since the last report, and how many of its streams were late.
type CallDemand struct {
	Service     ServiceName
	Model       ModelName
	Calls       int // that have arrived
	Tokens      int // that engines are expected to read and generate for the calls
	Streams     int // that ended
	LateStreams int // of these, with a first event or a gap between events that exceeded its target
}

// A ViewAnswer holds the changes since the request's versions.
type ViewAnswer struct {
	IsLeader       bool // the answering VM leads the replicated log
	Leader         VMName
	Members        []VMName        // of the replicated log
	Config         *PackedDocument // nil if the VM has the newest
	View           ViewVersion
	BaseView       ViewVersion // of the list that the changes are to be applied to, unless FullList is set
	FullList       bool        // Servers replaces the whole list
	Servers        []Server
	RemovedServers []BackendName // servers removed from the list
	ListSerial     uint64        // of the list within the process that answers, which never reuses one; not sent
	EntryVMCount   int           // number of entry VMs that poll the leader
	CallsInFlight  []ServerCalls // in flight, summed over the last reports of all entry VMs
	Blame          BlameView
	Confirmed      ConfigConfirmation
}

// A ConfigConfirmation says as of when a configuration was the newest. The zero value confirms nothing.
type ConfigConfirmation struct {
	Version uint64 // of the configuration; it contains every change that was acknowledged before the time below

	// After is the time from the arrival of the request at the leader to that time; negative if it was before.
	After time.Duration
}

// A PackedDocument is a routing document, compressed with one that the receiver has as the dictionary.
type PackedDocument struct {
	Version     uint64
	BaseVersion uint64 // version of the dictionary; 0 for none
	Data        []byte
}

// A ViewSource answers the view requests of entry VMs.
type ViewSource interface {
	// View waits for a change, up to r.MaxWait, if this VM leads the replicated log. Otherwise it answers at once.
	View(ctx context.Context, r ViewRequest) ViewAnswer
}

// A ViewClient sends view requests to other VMs.
type ViewClient interface {
	// RequestView sends the request to the VM and returns its answer.
	RequestView(ctx context.Context, to VMName, r ViewRequest) (ViewAnswer, error)
}
