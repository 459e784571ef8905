package yaml

import (
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Role is a function that a VM serves; a VM may have several.
type Role string

// Roles that settings may assign to a VM; every VM takes part in its data centre's placement lease whatever its roles.
const (
	RoleEntry   Role = "entry"
	RoleControl Role = "control"
)

// Listen holds the addresses of a VM's three listeners as IP:port.
type Listen struct {
	Callers   string
	Peers     string
	Operators string
}

// VM holds the settings of one VM.
type VM struct {
	Name       deck.VMName
	DataCentre deck.DataCentre
	Region     deck.Region
	Roles      []Role
	DataFolder string // empty if the VM has no disk
	Listen     Listen
}

// Has reports whether the VM has the role.
func (v VM) Has(r Role) bool {
	for _, x := range v.Roles {
		if x == r {
			return true
		}
	}
	return false
}

// Platform holds the addresses of the platform's services and its limits on loads.
type Platform struct {
	VMList               string // base URL; empty if there is none
	WeightStore          string // base URL; empty if there is none
	LoadsPerSecond       float64
	ConcurrentLoads      int
	AdapterLoadsInFlight int // number of adapter loads in flight over all engines that run at full speed
}

// Limits holds the bounds on callers' requests and streams and on draining.
type Limits struct {
	MaxBodyBytes  int64
	MaxStreams    int
	HeaderTimeout time.Duration
	DrainTimeout  time.Duration
}

// Objective is the service-level objective of a service class.
type Objective struct {
	Class         deck.Class
	FirstToken    time.Duration
	BetweenTokens time.Duration
	Target        float64 // share of requests that must meet the objective
}

// Settings holds the validated settings of a deployment.
type Settings struct {
	Deployment        string
	VMs               []VM
	Platform          Platform
	Limits            Limits
	Objectives        []Objective
	ClockDrift        float64       // largest relative error of a VM's clock rate
	OperationLifetime time.Duration // bound on how late an operation may arrive at an engine
}

// ControlVMs returns the VMs that hold a replica of the replicated log.
func (s Settings) ControlVMs() []VM {
	return s.filterVMs(func(v VM) bool { return v.Has(RoleControl) })
}

// InDataCentre returns the VMs of a data centre.
func (s Settings) InDataCentre(dc deck.DataCentre) []VM {
	return s.filterVMs(func(v VM) bool { return v.DataCentre == dc })
}

// Objective returns the objective of a class and whether the settings have one.
func (s Settings) Objective(c deck.Class) (Objective, bool) {
	for _, o := range s.Objectives {
		if o.Class == c {
			return o, true
		}
	}
	return Objective{}, false
}

// VM returns the VM with the given name and whether it exists.
func (s Settings) VM(name deck.VMName) (VM, bool) {
	for _, v := range s.VMs {
		if v.Name == name {
			return v, true
		}
	}
	return VM{}, false
}

func (s Settings) filterVMs(keep func(VM) bool) []VM {
	var out []VM
	for _, v := range s.VMs {
		if keep(v) {
			out = append(out, v)
		}
	}
	return out
}
