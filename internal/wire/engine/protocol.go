package engine

import "time"

// Paths of the engine protocol; PathKVPrefix is followed by the request ID.
const (
	PathChatCompletions = "/v1/chat/completions"
	PathCompletions     = "/v1/completions"
	PathCancel          = "/engine/cancel"
	PathOperations      = "/engine/operations"
	PathReport          = "/engine/report"
	PathCacheEvents     = "/engine/cache-events"
	PathKVPrefix        = "/engine/kv/"
)

// Headers of requests to an engine; HeaderLastEventID carries the offset of the last token already delivered. An engine repeats
// HeaderRequestID in its response; connections to one that does not are not reused.
const (
	HeaderRequestID    = "Request-ID"
	HeaderPriority     = "Priority"
	HeaderModelVersion = "Model-Version"
	HeaderAdapter      = "Adapter"
	HeaderLastEventID  = "Last-Event-ID"
)

// Headers of an engine's responses; HeaderDraining is "true" on the 503 response of an engine that is draining. HeaderSoftwareVersion
// names the version of the engine's software on the response with a token stream; engines that name none count as one version.
const (
	HeaderBootID          = "Boot-ID"
	HeaderDraining        = "Draining"
	HeaderSoftwareVersion = "Software-Version"
)

// DoneData is the data of the event that ends a complete token stream. The event's id, if it has one, is the number of tokens.
const DoneData = "[DONE]"

// EventError is the name of the event by which an engine reports an error within a stream.
const EventError = "error"

// KeepAliveInterval is the interval between the comment lines that an engine sends while a stream has no token to send.
const KeepAliveInterval = 500 * time.Millisecond

// Limits of what is read from a peer.
const (
	MaxEventBytes = 1 << 20
	MaxJSONBytes  = 4 << 20
	MaxKVBytes    = 256 << 20
)

// A Cancel is the body of a request to cancel a generation.
type Cancel struct {
	RequestID string `json:"request-id"`
}

// An Operation is the body of an operation request.
type Operation struct {
	ID             string     `json:"id"`
	Kind           string     `json:"kind"`
	FencingToken   uint64     `json:"fencing-token"`
	NotAfter       *time.Time `json:"not-after,omitempty"` // the engine refuses to start it later
	Model          string     `json:"model,omitempty"`
	Version        string     `json:"version,omitempty"`
	Adapter        string     `json:"adapter,omitempty"`
	Role           string     `json:"role,omitempty"`
	WeightBytes    int64      `json:"weight-bytes,omitempty"`
	ResidentBytes  int64      `json:"resident-bytes,omitempty"`
	TransientBytes int64      `json:"transient-bytes,omitempty"`
}

// An OperationAnswer is the body of the response to an operation request.
type OperationAnswer struct {
	Accepted bool   `json:"accepted"`
	Stale    bool   `json:"stale,omitempty"` // refused because of an old fencing token
	Reason   string `json:"reason,omitempty"`
}

// A Report is an engine's load and memory report.
type Report struct {
	Backend      string          `json:"backend"`
	BootID       string          `json:"boot-id"`
	TakenAt      time.Time       `json:"taken-at"`
	Running      int             `json:"running"`
	Queued       int             `json:"queued"`
	QueuedTokens int             `json:"queued-tokens"`
	UsedBytes    int64           `json:"used-bytes"`
	Models       []ResidentModel `json:"models,omitempty"`
	Adapters     []string        `json:"adapters,omitempty"`
	Role         string          `json:"role"`
	Draining     bool            `json:"draining,omitempty"`
	FencingToken uint64          `json:"fencing-token"`
	Operations   []string        `json:"operations,omitempty"`
	Software     string          `json:"software-version,omitempty"`
}

// A ResidentModel is a model version that an engine holds or is loading, as listed in a report.
type ResidentModel struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Ready   bool   `json:"ready"`
	Bytes   int64  `json:"bytes"`
}

// CacheEvents is the body of the response to a request for cache events.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Last   uint64       `json:"last"`
	Gap    bool         `json:"gap,omitempty"`
}

// A CacheEvent is one event of an engine's prefix cache. The prefix hash is encoded as a string because JSON parsers may
// read numbers as float64, which can't hold 64-bit integers exactly.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   uint64 `json:"prefix,string"`
	Evicted  bool   `json:"evicted,omitempty"`
}
