package yaml

import (
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A Role is a part that a VM plays.
type Role string

// The roles that settings may give to a VM; every VM takes part in its data centre's placement lease.
const (
	RoleEntry   Role = "entry"
	RoleControl Role = "control"
)

// A Listen holds the addresses of a VM's three listeners as IP:port.
type Listen struct {
	Callers   string
	Peers     string
	Operators string
}

// A VM is a VM of the system.
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

// A Platform holds what the platform gives and its limits.
type Platform struct {
	VMList          string // base URL, empty for none
	WeightStore     string // base URL, empty for none
	LoadsPerSecond  float64
	ConcurrentLoads int
	AdapterLoads    int // adapter loads in flight over all engines at full speed
}

// Limits bound what callers may send and hold.
type Limits struct {
	MaxBodyBytes  int64
	MaxStreams    int
	HeaderTimeout time.Duration
	DrainTimeout  time.Duration
}

// An Objective is the service-level objective of a class.
type Objective struct {
	Class         deck.Class
	FirstToken    time.Duration
	BetweenTokens time.Duration
	Target        float64 // share of requests that must meet it
}

// A Settings is a deployment's checked settings.
type Settings struct {
	Deployment string
	VMs        []VM
	Platform   Platform
	Limits     Limits
	Objectives []Objective
	ClockDrift float64 // largest relative error of a VM's clock rate
	OpLifetime time.Duration
}

// ControlVMs returns the VMs that hold a replica of the log.
func (s Settings) ControlVMs() []VM {
	return s.filterVMs(func(v VM) bool { return v.Has(RoleControl) })
}

// InDataCentre returns the VMs of a data centre.
func (s Settings) InDataCentre(dc deck.DataCentre) []VM {
	return s.filterVMs(func(v VM) bool { return v.DataCentre == dc })
}

// Objective returns the objective of a class.
func (s Settings) Objective(c deck.Class) (Objective, bool) {
	for _, o := range s.Objectives {
		if o.Class == c {
			return o, true
		}
	}
	return Objective{}, false
}

// VM returns the VM with the given name.
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
