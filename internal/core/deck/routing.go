package deck

import (
	"context"
	"errors"
	"time"
)

// A CallKind says whether a routed call may run more than once.
type CallKind int

// The kinds of routed call; the zero value is the most conservative one.
const (
	CallOnce       CallKind = iota // runs at most once for each attempt of the caller
	CallIdempotent                 // may run more than once
	CallStream                     // a stream of events; runs once unless the route is resumable
)

// A Route is a host and path prefix of a RoutingConfig.
type Route struct {
	Name           string
	Host           string
	Prefix         string // begins and ends with a slash
	Kind           CallKind
	Timeout        time.Duration // longest time that a caller waits
	LatencyTarget  time.Duration // to the answer, or to the first event of a stream
	EventGapTarget time.Duration // longest pause between events of a stream
	Priority       int           // 0 is the most urgent
	MaxAttempts    int           // backend servers that one call may be sent to
	Sticky         bool          // calls share prompt prefixes
	Resumable      bool          // another engine may continue a stream
	Public         bool          // calls need no key although the configuration names customers
	Targets        []RouteTarget // at least one, with a positive total weight
}

// Repeatable reports whether a call on the route may run more than once.
func (r Route) Repeatable() bool {
	return r.Kind == CallIdempotent || r.Kind == CallStream && r.Resumable
}

// A RouteTarget is a service with its share of a route's calls.
type RouteTarget struct {
	Service ServiceName
	Weight  float64
}

// An EngineSpec says what the engines of a routed service can hold and run.
type EngineSpec struct {
	Slots               int // requests in one batch
	KVCacheTokens       int // capacity of the KV cache in tokens, for running requests and cached prompts
	TokensPerEvent      int
	WeightMegabytes     float64 // for weights and adapters together
	AdapterSlots        int
	StoreLoadsPerSecond float64 // loads from the weight store, by all engines together
	Models              []EngineModel
}

// An EngineModel is a model that a service's engines may hold.
type EngineModel struct {
	Name             ModelName
	Megabytes        float64
	AdapterMegabytes float64       // of one adapter
	AdapterCount     int           // number of adapters, which are named a1, a2, and so on
	LoadTime         time.Duration // from the weight store
	DiskLoadTime     time.Duration // from the engine's disk
	WarmLoadTime     time.Duration // from the engine's memory
}

// Model returns the engine model with the name.
func (e EngineSpec) Model(name ModelName) (m EngineModel, ok bool) {
	for _, m := range e.Models {
		if m.Name == name {
			return m, true
		}
	}
	return EngineModel{}, false
}

// A RoutedService is a service that routes send calls to.
type RoutedService struct {
	Name           ServiceName
	HealthPath     string
	MaxConnections int         // to one backend server, from all callers
	Engine         *EngineSpec // nil for a plain service
}

// CallerLimits bound what callers may send.
type CallerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// A RoutingConfig is one version of the complete routing configuration; it is immutable once it is decoded.
type RoutingConfig struct {
	Version   uint64
	Routes    []Route
	Services  []RoutedService
	Limits    CallerLimits
	Customers []Customer // if there are any, calls need the key of one, except on public routes
}

// Service returns the service with the name.
func (c *RoutingConfig) Service(name ServiceName) (s RoutedService, ok bool) {
	for _, s := range c.Services {
		if s.Name == name {
			return s, true
		}
	}
	return RoutedService{}, false
}

// A RoutingDocument is a routing configuration as an operator sent it.
type RoutingDocument struct {
	Version uint64
	Body    []byte // returned to operators unchanged
}

// A RoutingDecoder checks a document and returns what it configures.
type RoutingDecoder interface {
	// DecodeRouting returns the configuration, or an error that says why the document is invalid.
	DecodeRouting(body []byte) (*RoutingConfig, error)
}

// ErrInvalidRouting marks a document that no replica accepts.
var ErrInvalidRouting = errors.New("invalid routing configuration")

// A RoutingStore keeps the newest routing document durably.
type RoutingStore interface {
	// PutRouting stores the document durably, unless a document of the same or a higher version is stored. After an error other
	// than ErrInvalidRouting it is unknown whether the document was stored.
	PutRouting(ctx context.Context, body []byte) error

	// Routing returns the newest document that was stored before the call.
	Routing(ctx context.Context) (RoutingDocument, error)
}
