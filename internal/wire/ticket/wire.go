package ticket

// A Document is the wire form of a ticket.
type Document struct {
	Number         uint64          `json:"number" yaml:"number"`
	Models         []Model         `json:"models,omitempty" yaml:"models,omitempty"`
	Adapters       []Adapter       `json:"adapters,omitempty" yaml:"adapters,omitempty"`
	BackendServers []BackendServer `json:"backend-servers,omitempty" yaml:"backend-servers,omitempty"`
	Services       []Service       `json:"services,omitempty" yaml:"services,omitempty"`
}

// A Model is the wire form of a model.
type Model struct {
	Name          string    `json:"name" yaml:"name"`
	Class         string    `json:"class,omitempty" yaml:"class,omitempty"` // interactive (default) or batch
	ActiveVersion string    `json:"active-version,omitempty" yaml:"active-version,omitempty"`
	MinReplicas   int       `json:"min-replicas,omitempty" yaml:"min-replicas,omitempty"`
	Versions      []Version `json:"versions,omitempty" yaml:"versions,omitempty"`
	Absent        bool      `json:"absent,omitempty" yaml:"absent,omitempty"`
}

// A Version is the wire form of a model version; sizes are in bytes.
type Version struct {
	Name            string `json:"name" yaml:"name"`
	WeightBytes     int64  `json:"weight-bytes" yaml:"weight-bytes"`
	KVReserveBytes  int64  `json:"kv-reserve-bytes,omitempty" yaml:"kv-reserve-bytes,omitempty"`
	TransientBytes  int64  `json:"transient-bytes,omitempty" yaml:"transient-bytes,omitempty"`
	KVBytesPerToken int64  `json:"kv-bytes-per-token,omitempty" yaml:"kv-bytes-per-token,omitempty"`
}

// An Adapter is the wire form of an adapter.
type Adapter struct {
	Name   string `json:"name" yaml:"name"`
	Model  string `json:"model,omitempty" yaml:"model,omitempty"`
	Bytes  int64  `json:"bytes,omitempty" yaml:"bytes,omitempty"`
	Absent bool   `json:"absent,omitempty" yaml:"absent,omitempty"`
}

// A BackendServer is the wire form of a backend server.
type BackendServer struct {
	Name             string `json:"name" yaml:"name"`
	Kind             string `json:"kind,omitempty" yaml:"kind,omitempty"` // engine (default) or service
	DataCentre       string `json:"data-centre,omitempty" yaml:"data-centre,omitempty"`
	Address          string `json:"address,omitempty" yaml:"address,omitempty"`
	Accelerators     int    `json:"accelerators,omitempty" yaml:"accelerators,omitempty"`
	AcceleratorBytes int64  `json:"accelerator-bytes,omitempty" yaml:"accelerator-bytes,omitempty"`
	Role             string `json:"role,omitempty" yaml:"role,omitempty"` // mixed (default), prefill or decode
	ChecksFencing    bool   `json:"checks-fencing,omitempty" yaml:"checks-fencing,omitempty"`
	Leaving          bool   `json:"leaving,omitempty" yaml:"leaving,omitempty"`
	Absent           bool   `json:"absent,omitempty" yaml:"absent,omitempty"`
}

// A Service is the wire form of a plain service.
type Service struct {
	Name     string   `json:"name" yaml:"name"`
	Prefix   string   `json:"prefix,omitempty" yaml:"prefix,omitempty"`
	Backends []string `json:"backends,omitempty" yaml:"backends,omitempty"`
	Routes   []Route  `json:"routes,omitempty" yaml:"routes,omitempty"`
	Absent   bool     `json:"absent,omitempty" yaml:"absent,omitempty"`
}

// A Route is the wire form of a service route.
type Route struct {
	Path       string `json:"path" yaml:"path"`
	Repeatable bool   `json:"repeatable,omitempty" yaml:"repeatable,omitempty"`
}

// A StateDocument is the wire form of a state.
type StateDocument struct {
	Version uint64   `json:"version"`
	Objects Document `json:"objects"`
}
