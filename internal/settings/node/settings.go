package node

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Settings are what one process is told; see deploy/node.yaml.tmpl for the file.
type Settings struct {
	VM           string
	DataCentre   deck.DataCentre
	Region       deck.Region
	Regions      map[deck.DataCentre]deck.Region // of every data centre
	Address      string                          // IP number
	PeerPorts    []int                           // first and last port for the system's own messages
	Seeds        []string                        // IP:port of operators' listeners
	FirstStart   bool                            // the whole system starts for the first time, with empty disks
	DataFolder   string                          // empty without a disk
	Listen       Listen
	Megabytes    int // memory that the process may use
	Platform     Platform
	LossesToBear int // VMs with disks that may be lost at once
	Bounds       Bounds
}

// Listen holds the addresses of the listeners as IP:port; a role leaves those empty that it does not serve.
type Listen struct {
	Callers   string
	Ready     string
	Operators string
	Peers     string // empty for the VM's own name; differs from it behind address translation
}

// Platform says how the platform is reached.
type Platform struct {
	Address string // IP:port
}

// Bounds are the limits that the users set.
type Bounds struct {
	Grace       time.Duration // from SIGTERM to SIGKILL
	Lease       time.Duration // between orders of two holders
	Fenced      bool          // engines refuse orders with an old fencing token
	RetryShare  float64       // of the calls in a window that may be sent again
	RetrySlack  float64       // calls in a window that may be sent again besides
	RetryWindow time.Duration
}

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
	Megabytes int `yaml:"memory-megabytes"`
	Platform  struct {
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
	} `yaml:"bounds"`
}

// Read returns the settings of a file; an error names the line or the setting.
func Read(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	s, err := Parse(data)
	return s, errors.Wrapf(err, "settings %s", path)
}

// Parse returns the settings in a file's content.
func Parse(data []byte) (Settings, error) {
	var file fileYAML
	if err := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict()).Decode(&file); err != nil {
		return Settings{}, err
	}
	s := Settings{
		VM: file.VM, DataCentre: deck.DataCentre(file.DataCentre), Region: deck.Region(file.Region),
		Regions: make(map[deck.DataCentre]deck.Region), Address: file.Address, PeerPorts: file.PeerPorts, Seeds: file.Seeds,
		FirstStart: file.FirstStart, DataFolder: file.DataFolder, Listen: Listen(file.Listen), Megabytes: file.Megabytes,
		Platform: Platform(file.Platform), LossesToBear: file.LossesToBear,
		Bounds: Bounds{
			Grace: seconds(file.Bounds.GraceS), Lease: seconds(file.Bounds.LeaseMs / 1000), Fenced: file.Bounds.Fenced,
			RetryShare: file.Bounds.RetryShare, RetrySlack: file.Bounds.RetrySlack, RetryWindow: seconds(file.Bounds.RetryWindow),
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
		{len(s.PeerPorts) == 2 && s.PeerPorts[0] > 0 && s.PeerPorts[0] <= s.PeerPorts[1], "peer-ports must be two ports, the first not above the last"},
		{len(s.Seeds) > 0, "seeds are missing"},
		{s.Platform.Address != "", "platform.address is missing"},
		{s.LossesToBear >= 0, "losses-to-bear is negative"},
		{s.Bounds.Grace > 0, "bounds.grace-seconds must be positive"},
		{s.Bounds.Lease > 0, "bounds.lease-milliseconds must be positive"},
		{s.Bounds.RetryWindow > 0, "bounds.retry-window-seconds must be positive"},
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

// Peer returns this VM's name in the system, which is the address of its peers' listener.
func (s Settings) Peer() deck.VMName {
	return s.peerName(s.Address)
}

// PeersListener returns the address that the peers' listener is bound to.
func (s Settings) PeersListener() string {
	if s.Listen.Peers != "" {
		return s.Listen.Peers
	}
	return string(s.Peer())
}

// SeedPeers returns the seeds' names in the system; the ports are the same on all VMs.
func (s Settings) SeedPeers() []deck.VMName {
	var out []deck.VMName
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err == nil { // checked by Parse
			out = append(out, s.peerName(host))
		}
	}
	return out
}

func (s Settings) peerName(host string) deck.VMName {
	return deck.VMName(net.JoinHostPort(host, strconv.Itoa(s.PeerPorts[0])))
}

// MetricsAddress returns where the process serves its metrics: the second of its own ports.
func (s Settings) MetricsAddress() string {
	if s.PeerPorts[0] == s.PeerPorts[1] {
		return ""
	}
	return net.JoinHostPort(s.Address, strconv.Itoa(s.PeerPorts[0]+1))
}
