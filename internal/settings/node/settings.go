package node

import (
	"bytes"
	"cmp"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Settings holds the settings of one process; deploy/node.yaml.tmpl is the template of the file.
type Settings struct {
	VM              string
	DataCentre      deck.DataCentre
	Region          deck.Region
	Regions         map[deck.DataCentre]deck.Region // of every data centre
	Address         string                          // IP address of this VM
	PeerPorts       []int                           // first and last port for traffic between VMs of the system
	Seeds           []string                        // IP:port of the operators' listeners of control VMs
	FirstStart      bool                            // first start of the whole system: disks are empty, the seeds form the log
	DataFolder      string                          // empty if the VM has no disk
	Listen          Listen
	MemoryMiB       int // memory limit of the process in MiB; 0 sets no limit
	MaxDescriptors  int // limit of the process on open descriptors; 0 for that of the operating system
	Platform        Platform
	ToleratedLosses int // number of VMs with disks whose simultaneous loss the system must survive
	Bounds          Bounds
}

// Listen holds the listener addresses as IP:port; a listener that the process's role does not serve has an empty address.
type Listen struct {
	Callers   string
	Ready     string
	Operators string
	Peers     string // empty to listen on the VM's own name; differs from it behind network address translation
}

// Platform holds the address of the platform.
type Platform struct {
	Address string // IP:port
}

// Bounds holds the limits that the users set.
type Bounds struct {
	GracePeriod         time.Duration // time from SIGTERM to SIGKILL
	Lease               time.Duration // minimum time between the orders of two successive leaders
	EnginesCheckFencing bool          // engines refuse orders with a stale fencing token
	RetryShare          float64       // share of the calls in a window that may be retried
	RetrySlack          float64       // number of calls in a window that may be retried in addition to the share
	RetryWindow         time.Duration

	// Revocation is the time after the acknowledgement of a configuration without a key from which no VM may serve calls with the key; 0
	// for no bound.
	Revocation time.Duration

	// In each window of AllowanceWindow, a customer may get AllowanceOvershoot (a share) more than its allowance, and AllowanceSlack units
	// besides.
	AllowanceWindow    time.Duration
	AllowanceOvershoot float64
	AllowanceSlack     float64

	// HedgeShare is the largest share of calls in each window of HedgeWindow that may be sent to a second server because the first one is
	// slow; 0 for none.
	HedgeShare  float64
	HedgeWindow time.Duration
}

// maxHedgeShare is the largest HedgeShare: more would take from the retry budget what calls need whose server has failed.
const maxHedgeShare = 0.2

// defaultHedgeWindow is the window of HedgeShare if the settings name none.
const defaultHedgeWindow = 10 * time.Second

type fileYAML struct {
	VM         string            `yaml:"vm"`
	DataCentre string            `yaml:"data-centre"`
	Region     string            `yaml:"region"`
	Regions    map[string]string `yaml:"regions"`
	Address    string            `yaml:"address"`
	PeerPorts  []int             `yaml:"peer-ports"`
	Seeds      []string          `yaml:"seeds"`
	FirstStart bool              `yaml:"first-start"`
	DataFolder string            `yaml:"data-folder"`
	Listen     struct {
		Callers   string `yaml:"callers"`
		Ready     string `yaml:"ready"`
		Operators string `yaml:"operators"`
		Peers     string `yaml:"peers"`
	} `yaml:"listen"`
	Megabytes      int `yaml:"memory-megabytes"`
	MaxDescriptors int `yaml:"max-descriptors"`
	Platform       struct {
		Address string `yaml:"address"`
	} `yaml:"platform"`
	LossesToBear int `yaml:"losses-to-bear"`
	Bounds       struct {
		GraceS      float64 `yaml:"grace-seconds"`
		LeaseMs     float64 `yaml:"lease-milliseconds"`
		Fenced      bool    `yaml:"engines-check-fencing"`
		RetryShare  float64 `yaml:"retry-share"`
		RetrySlack  float64 `yaml:"retry-slack"`
		RetryWindow float64 `yaml:"retry-window-seconds"`

		RevocationMs       float64 `yaml:"revocation-milliseconds"`
		AllowanceWindow    float64 `yaml:"allowance-window-seconds"`
		AllowanceOvershoot float64 `yaml:"allowance-overshoot"`
		AllowanceSlack     float64 `yaml:"allowance-slack"`

		HedgeShare  float64 `yaml:"hedge-share"`
		HedgeWindow float64 `yaml:"hedge-window-seconds"`
	} `yaml:"bounds"`
}

// Read returns the validated settings in the file at path; an error names the file and the line or the setting.
func Read(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	s, err := Parse(data)
	return s, errors.Wrapf(err, "settings %s", path)
}

// Parse returns the validated settings in the content of a settings file.
func Parse(data []byte) (Settings, error) {
	var file fileYAML
	if err := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict()).Decode(&file); err != nil {
		return Settings{}, err
	}
	s := Settings{
		VM: file.VM, DataCentre: deck.DataCentre(file.DataCentre), Region: deck.Region(file.Region),
		Regions: make(map[deck.DataCentre]deck.Region), Address: file.Address, PeerPorts: file.PeerPorts, Seeds: file.Seeds,
		FirstStart: file.FirstStart, DataFolder: file.DataFolder, Listen: Listen(file.Listen), MemoryMiB: file.Megabytes,
		MaxDescriptors: file.MaxDescriptors,
		Platform:       Platform(file.Platform), ToleratedLosses: file.LossesToBear,
		Bounds: Bounds{
			GracePeriod: seconds(file.Bounds.GraceS), Lease: seconds(file.Bounds.LeaseMs / 1000),
			EnginesCheckFencing: file.Bounds.Fenced, RetryShare: file.Bounds.RetryShare, RetrySlack: file.Bounds.RetrySlack,
			RetryWindow: seconds(file.Bounds.RetryWindow), Revocation: seconds(file.Bounds.RevocationMs / 1000),
			AllowanceWindow: seconds(file.Bounds.AllowanceWindow), AllowanceOvershoot: file.Bounds.AllowanceOvershoot,
			AllowanceSlack: file.Bounds.AllowanceSlack,
			HedgeShare:     file.Bounds.HedgeShare, HedgeWindow: cmp.Or(seconds(file.Bounds.HedgeWindow), defaultHedgeWindow),
		},
	}
	for dc, region := range file.Regions {
		s.Regions[deck.DataCentre(dc)] = deck.Region(region)
	}
	return s, s.validate()
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

func (s Settings) validate() error {
	for _, c := range []struct {
		ok     bool
		reason string
	}{
		{s.VM != "", "vm is missing"},
		{s.DataCentre != "", "data-centre is missing"},
		{net.ParseIP(s.Address) != nil, fmt.Sprintf("address %q is no IP number", s.Address)},
		{len(s.PeerPorts) == 2 && s.PeerPorts[0] > 0 && s.PeerPorts[0] <= s.PeerPorts[1],
			"peer-ports must be two ports, the first not above the last"},
		{len(s.Seeds) > 0, "seeds are missing"},
		{s.Platform.Address != "", "platform.address is missing"},
		{s.MaxDescriptors >= 0, "max-descriptors must not be negative"},
		{s.ToleratedLosses >= 0, "losses-to-bear must not be negative"},
		{s.Bounds.GracePeriod > 0, "bounds.grace-seconds must be positive"},
		{s.Bounds.Lease > 0, "bounds.lease-milliseconds must be positive"},
		{s.Bounds.RetryWindow > 0, "bounds.retry-window-seconds must be positive"},
		{s.Bounds.Revocation >= 0, "bounds.revocation-milliseconds must not be negative"},
		{s.Bounds.AllowanceWindow >= 0, "bounds.allowance-window-seconds must not be negative"},
		{s.Bounds.AllowanceOvershoot >= 0, "bounds.allowance-overshoot must not be negative"},
		{s.Bounds.AllowanceSlack >= 0, "bounds.allowance-slack must not be negative"},
		{s.Bounds.HedgeShare >= 0 && s.Bounds.HedgeShare <= maxHedgeShare, "bounds.hedge-share must be from 0 to 0.2"},
		{s.Bounds.HedgeWindow > 0, "bounds.hedge-window-seconds must not be negative"},
	} {
		if !c.ok {
			return errors.New(c.reason)
		}
	}
	for _, seed := range s.Seeds {
		if _, _, err := net.SplitHostPort(seed); err != nil {
			return errors.Wrapf(err, "seeds: %q", seed)
		}
	}
	return nil
}

// PeerName returns this VM's name in the system, which is the IP:port of its peers' listener.
func (s Settings) PeerName() deck.VMName {
	return s.peerName(s.Address)
}

// PeersListenAddress returns the IP:port that the peers' listener binds to.
func (s Settings) PeersListenAddress() string {
	if s.Listen.Peers != "" {
		return s.Listen.Peers
	}
	return string(s.PeerName())
}

// SeedNames returns the names of the seeds in the system; all VMs use the same peer ports.
func (s Settings) SeedNames() []deck.VMName {
	var out []deck.VMName
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err == nil { // Parse rejects seeds without a port
			out = append(out, s.peerName(host))
		}
	}
	return out
}

func (s Settings) peerName(host string) deck.VMName {
	return deck.VMName(net.JoinHostPort(host, strconv.Itoa(s.PeerPorts[0])))
}

// MetricsAddress returns the IP:port of the metrics listener, which uses the second peer port, or "" if there is only one.
func (s Settings) MetricsAddress() string {
	if s.PeerPorts[0] == s.PeerPorts[1] {
		return ""
	}
	return net.JoinHostPort(s.Address, strconv.Itoa(s.PeerPorts[0]+1))
}
