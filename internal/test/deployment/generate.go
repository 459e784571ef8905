package deployment

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
)

// A Topology is the size of a generated deployment.
type Topology struct {
	VMs                 int
	DataCentres         int
	Regions             int
	ControlVMs          int
	DedicatedControlVMs bool // control VMs have no other role
}

// Generate prepares a deployment of a size on loopback without a ticket.
func Generate(binary string, size Topology) (*Deployment, error) {
	dir, err := os.MkdirTemp("", "geraniumdeck-")
	if err != nil {
		return nil, errors.Wrap(err, "deployment")
	}
	d := &Deployment{
		Binary: binary, Folder: dir, Settings: filepath.Join(dir, "settings.yaml"),
		procs: make(map[string]*process), addresses: make(map[string]string), mu: sync.Mutex{},
	}
	return d, errors.Wrap(os.WriteFile(d.Settings, []byte(d.settingsYAML(size)), 0o600), "deployment")
}

// VMName returns the name of VM i of a generated deployment, counted from 0.
func VMName(i int) string {
	return fmt.Sprintf("vm-%03d", i)
}

// OperatorsAddress returns the address of the operators' listener of VM i of a generated deployment.
func (d *Deployment) OperatorsAddress(i int) string {
	return d.Address(addressKey(i, "operators"))
}

// addressKey names an address of a addressKey deployment, which has no example.
func addressKey(i int, listener string) string {
	return fmt.Sprintf("%s/%s", VMName(i), listener)
}

func (d *Deployment) settingsYAML(size Topology) string {
	var b strings.Builder
	b.WriteString("deployment: generated\nregions:\n")
	for r := range size.Regions {
		fmt.Fprintf(&b, "  - name: region-%d\n    data-centres: [%s]\n", r, strings.Join(regionDataCentres(size, r), ", "))
	}
	b.WriteString("vms:\n")
	for i := range size.VMs {
		b.WriteString(d.vmYAML(size, i))
	}
	b.WriteString("platform:\n  weight-store: {loads-per-second: 3, concurrent-loads: 9}\n  adapter-loads-in-flight: 70\n")
	return b.String()
}

func regionDataCentres(size Topology, region int) []string {
	var out []string
	for dc := range size.DataCentres {
		if dc%size.Regions == region {
			out = append(out, fmt.Sprintf("dc-%d", dc))
		}
	}
	return out
}

func (d *Deployment) vmYAML(size Topology, i int) string {
	roles := "entry"
	folder := ""
	if i < size.ControlVMs {
		roles = "entry, control"
		if size.DedicatedControlVMs {
			roles = "control"
		}
		folder = fmt.Sprintf("    data-folder: %s/data/%d\n", d.Folder, i)
	}
	return fmt.Sprintf("  - name: %s\n    data-centre: dc-%d\n    roles: [%s]\n%s    listen: {callers: %q, peers: %q, operators: %q}\n",
		VMName(i), i%size.DataCentres, roles, folder,
		d.Address(addressKey(i, "callers")), d.Address(addressKey(i, "peers")), d.OperatorsAddress(i))
}
