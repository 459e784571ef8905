package deck

import (
	"context"
	"time"
)

// An Engine is the client interface of a model engine.
type Engine interface {
	// CacheEvents returns the prefix-cache events after the given sequence number.
	CacheEvents(ctx context.Context, after uint64) (CacheEvents, error)

	// Cancel ends the request with the given ID at the engine.
	Cancel(ctx context.Context, id RequestID) error

	// ExportKV returns the KV cache of a running request.
	ExportKV(ctx context.Context, id RequestID) ([]byte, error)

	// Generate starts or resumes a token stream.
	Generate(ctx context.Context, g GenerationRequest) (TokenStream, error)

	// ImportKV installs an exported KV cache under the given request ID.
	ImportKV(ctx context.Context, id RequestID, kv []byte) error

	// SendOperation sends an operation and returns what is known about its outcome.
	SendOperation(ctx context.Context, op Operation) OperationResult

	// Report returns the engine's current load and memory report.
	Report(ctx context.Context) (EngineReport, error)
}

// A GenerationRequest is a request to an engine for a token stream.
type GenerationRequest struct {
	ID       RequestID
	Model    ModelName
	Version  VersionName
	Adapter  AdapterName // empty for none
	Class    Class
	Priority int    // higher runs first
	Offset   int    // tokens already delivered; the stream continues after them
	Path     string // inference API path that the caller used
	Body     []byte // the caller's JSON body
	NewConn  bool   // open a new connection instead of a pooled one
}

// A Token is one element of a token stream. The end of the answer may come as an element of its own, which has no
// data and whose offset is the number of tokens.
type Token struct {
	Offset int    // 0 for the first token of the answer
	Data   []byte // the event's JSON payload
	Last   bool   // the answer is complete after this token
}

// A TokenStream is a running answer of an engine.
type TokenStream interface {
	// Close ends the stream and releases its connection.
	Close() error

	// Next returns the next token; keep-alive comments reset the stall timer but are not returned.
	Next(ctx context.Context) (Token, error)
}

// A SoftwareIdentified value comes from an engine that may have named the version of its software.
type SoftwareIdentified interface {
	// Software returns the version of the engine's software; it is empty if the engine named none.
	Software() SoftwareVersion
}

// CacheEvents are prefix-cache events of an engine, which may have gaps.
type CacheEvents struct {
	Events       []CacheEvent
	LastSequence uint64 // sequence number to continue after
	Gap          bool   // events before these were lost; prefix hints of this engine are invalid
}

// A CacheEvent says that an engine stored or evicted a prompt prefix.
type CacheEvent struct {
	Sequence uint64
	Prefix   uint64 // hash of model and prompt prefix
	Evicted  bool
}

// An EngineReport is an engine's own, possibly lagging, view of its load and memory.
type EngineReport struct {
	Backend      BackendName
	BootID       string    // changes when the engine process restarts
	TakenAt      time.Time // by the engine's clock; compare only with other reports of the engine
	Running      int
	Queued       int
	QueuedTokens int
	UsedBytes    Bytes
	Models       []ResidentModel
	Adapters     []AdapterName
	Role         EngineRole
	Draining     bool
	FencingToken uint64 // highest token seen
	Operations   []OperationID
	Software     SoftwareVersion
}

// A ResidentModel is a model version that an engine holds or is loading.
type ResidentModel struct {
	Model   ModelName
	Version VersionName
	Ready   bool
	Bytes   Bytes
}

// An OperationID identifies an operation; the engine runs an ID at most once.
type OperationID string

// An OperationKind says what an operation does.
type OperationKind int

// The kinds of operation; OpFence only raises the engine's fencing token.
const (
	OpFence OperationKind = iota
	OpLoadModel
	OpUnloadModel
	OpLoadAdapter
	OpUnloadAdapter
	OpSetRole
)

// String returns the kind's name in the engine protocol.
func (k OperationKind) String() string {
	names := [...]string{"fence", "load-model", "unload-model", "load-adapter", "unload-adapter", "set-role"}
	if k < 0 || int(k) >= len(names) {
		return "invalid"
	}
	return names[k]
}

// An Operation is a command to an engine from the placement leader of its data centre.
type Operation struct {
	ID           OperationID
	Kind         OperationKind
	FencingToken uint64
	Model        ModelName
	Version      VersionName
	Adapter      AdapterName
	Role         EngineRole
	NotAfter     time.Time // the engine does not start it after this time; zero for no limit

	WeightBytes    Bytes // read from the weight store
	ResidentBytes  Bytes // held once the operation is finished
	TransientBytes Bytes // additional memory while the operation runs
}

// An OperationResult is what the sender knows about the outcome of an operation.
type OperationResult struct {
	Outcome    Outcome
	StaleToken bool   // refused because of an old fencing token
	Reason     string // the engine's refusal or the transport's error
}
