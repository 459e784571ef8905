package deck

import (
	"context"
	"slices"
	"strconv"
	"time"
)

// A HeldModel is a model that an engine holds.
type HeldModel struct {
	Name     ModelName
	Version  int
	Adapters []AdapterName
}

// A Server is a backend server as the platform lists it.
type Server struct {
	ID          BackendName // of one incarnation
	Service     ServiceName
	Address     string // IP:port
	DataCentre  DataCentre
	Software    SoftwareVersion
	Slots       int
	Draining    bool
	StartUnixMs int64 // Unix ms of its start; 0 if the list does not say
	Models      []HeldModel
	Ejected     bool // ejected, because it recently broke connections of several entry VMs
}

// Incarnation returns a text that tells the server apart from an earlier one with its ID.
func (s Server) Incarnation() string {
	return s.Address + " " + strconv.FormatInt(s.StartUnixMs, 10)
}

// Holds reports whether the server holds the model and, unless it is empty, the adapter.
func (s Server) Holds(m ModelName, a AdapterName) bool {
	for _, h := range s.Models {
		if h.Name != m {
			continue
		}
		if a == "" {
			return true
		}
		for _, b := range h.Adapters {
			if b == a {
				return true
			}
		}
	}
	return false
}

// An EngineState is an engine's report of what it holds and runs; the report lags by some hundred milliseconds.
type EngineState struct {
	StartUnixMs     int64 // Unix ms of the engine's start; 0 if unknown
	Models          []HeldModel
	LoadingAdapters []AdapterRef // adapters being loaded
	Busy            bool         // an order about a model is in progress
	OrdersAccepted  uint64       // since the engine's start
	Running         int
	Waiting         int
	KVUsedTokens    int         // tokens in the KV cache that can't be evicted
	KVTotalTokens   int         // capacity of the KV cache in tokens
	WarmModels      []ModelName // can be loaded from the engine's memory
	DiskModels      []ModelName // can be loaded from the engine's disk
	Draining        bool
}

// A ModelOrder is an order to an engine to load or unload a model, or one adapter of it.
type ModelOrder struct {
	Unload               bool
	Model                ModelName
	Adapter              AdapterName   // empty for the model itself
	ExpectOrdersAccepted uint64        // orders that the engine accepted before; it refuses the order if its own count differs
	LeaseHolder          VMName        // VM that holds the placement lease
	FencingToken         uint64        // fencing token of the lease
	Timeout              time.Duration // how long to wait for the answer
}

// An OrderOutcome is what is known about a model order.
type OrderOutcome int

// The outcomes; the zero value is OrderUnknown.
const (
	OrderUnknown     OrderOutcome = iota // it may be carried out, now or later
	OrderAccepted                        // it is being carried out
	OrderSatisfied                       // the engine is in the ordered state
	OrderConflict                        // another order is in progress or came before
	OrderFenced                          // the engine has seen a higher fencing token
	OrderOtherServer                     // another backend server has the address
	OrderInvalid
)

// String returns the outcome's name as used in logs.
func (o OrderOutcome) String() string {
	names := [...]string{"unknown", "accepted", "holds", "conflict", "fenced", "misplaced", "invalid"}
	if o < 0 || int(o) >= len(names) {
		return "invalid"
	}
	return names[o]
}

// An AdapterRef names an adapter with its model.
type AdapterRef struct {
	Model   ModelName
	Adapter AdapterName
}

// A ServerList is the platform's lagging list of backend servers.
type ServerList interface {
	// ListServers returns the servers that the platform lists, ready or draining.
	ListServers(ctx context.Context) ([]Server, error)
}

// An EngineControl sends orders to model engines and reads their reports.
type EngineControl interface {
	// SendOrder sends an order once. With an error the outcome is OrderUnknown, unless the engine's response settles it.
	SendOrder(ctx context.Context, s Server, o ModelOrder) (OrderOutcome, error)

	// Report returns an engine's state.
	Report(ctx context.Context, s Server) (EngineState, error)
}

// Equal reports whether both descriptions are the same.
func (s Server) Equal(o Server) bool {
	return s.SameModels(o) && slices.EqualFunc(s.Models, o.Models, func(a, b HeldModel) bool {
		return slices.Equal(a.Adapters, b.Adapters)
	})
}

// SameModels reports whether both descriptions are the same except for the adapters.
func (s Server) SameModels(o Server) bool {
	return s.ID == o.ID && s.Service == o.Service && s.Address == o.Address && s.DataCentre == o.DataCentre &&
		s.Software == o.Software && s.Slots == o.Slots && s.Draining == o.Draining && s.StartUnixMs == o.StartUnixMs &&
		s.Ejected == o.Ejected &&
		slices.EqualFunc(s.Models, o.Models, func(a, b HeldModel) bool {
			return a.Name == b.Name && a.Version == b.Version
		})
}
