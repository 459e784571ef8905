package deck

// A BackendKind says what a backend server runs.
type BackendKind int

// The kinds of backend server; the zero value is EngineBackend.
const (
	EngineBackend BackendKind = iota
	ServiceBackend
)

// String returns the kind's name as used in tickets.
func (k BackendKind) String() string {
	if k == ServiceBackend {
		return "service"
	}
	return "engine"
}

// An EngineRole restricts the phases of inference that an engine runs.
type EngineRole int

// The engine roles; the zero value is RoleMixed.
const (
	RoleMixed EngineRole = iota
	RolePrefill
	RoleDecode
)

// String returns the role's name as used in tickets and operations.
func (r EngineRole) String() string {
	switch r {
	case RolePrefill:
		return "prefill"
	case RoleDecode:
		return "decode"
	default:
		return "mixed"
	}
}

// A BackendServer is a model engine or plain service instance as an accepted ticket declares it.
type BackendServer struct {
	Name             BackendName
	Kind             BackendKind
	DataCentre       DataCentre
	Address          string // IP:port
	Accelerators     int
	AcceleratorBytes Bytes // memory of one accelerator; models are sharded evenly over all of an engine
	Role             EngineRole
	ChecksFencing    bool // the engine refuses operations with an old fencing token
	Leaving          bool // it receives no new work, and its models are placed on other engines
	Absent           bool // the ticket removes the backend server
}

// MemoryBytes returns the memory over all accelerators of the backend server.
func (b BackendServer) MemoryBytes() Bytes {
	return Bytes(b.Accelerators) * b.AcceleratorBytes
}

// A ServiceRoute is a path prefix of a plain service.
type ServiceRoute struct {
	Path       string // below the service's prefix
	Repeatable bool   // calls may be sent again; otherwise an idempotency key is required
}

// A Service is a plain service as an accepted ticket declares it.
type Service struct {
	Name     ServiceName
	Prefix   string // callers reach the service under this path prefix
	Backends []BackendName
	Routes   []ServiceRoute
	Absent   bool // the ticket removes the service
}
