package yaml

// file is the YAML form of a settings file.
type file struct {
	Deployment string      `yaml:"deployment"`
	Regions    []region    `yaml:"regions"`
	VMs        []vm        `yaml:"vms"`
	Platform   platform    `yaml:"platform"`
	Limits     limits      `yaml:"limits"`
	Objectives []objective `yaml:"objectives"`
	Safety     safety      `yaml:"safety"`
}

type region struct {
	Name        string   `yaml:"name"`
	DataCentres []string `yaml:"data-centres"`
}

type vm struct {
	Name       string   `yaml:"name"`
	DataCentre string   `yaml:"data-centre"`
	Roles      []string `yaml:"roles"`
	DataFolder string   `yaml:"data-folder"`
	Listen     listen   `yaml:"listen"`
}

type listen struct {
	Callers   string `yaml:"callers"`
	Peers     string `yaml:"peers"`
	Operators string `yaml:"operators"`
}

type platform struct {
	VMList               string      `yaml:"vm-list"`
	WeightStore          weightStore `yaml:"weight-store"`
	AdapterLoadsInFlight int         `yaml:"adapter-loads-in-flight"`
}

type weightStore struct {
	Address         string  `yaml:"address"`
	LoadsPerSecond  float64 `yaml:"loads-per-second"`
	ConcurrentLoads int     `yaml:"concurrent-loads"`
}

type limits struct {
	MaxBody       string `yaml:"max-body"`
	MaxStreams    int    `yaml:"max-streams"`
	HeaderTimeout string `yaml:"header-timeout"`
	DrainTimeout  string `yaml:"drain-timeout"`
}

type objective struct {
	Class         string  `yaml:"class"`
	FirstToken    string  `yaml:"first-token"`
	BetweenTokens string  `yaml:"between-tokens"`
	Target        float64 `yaml:"target"`
}

type safety struct {
	ClockDrift        float64 `yaml:"clock-drift"`
	OperationLifetime string  `yaml:"operation-lifetime"`
}
