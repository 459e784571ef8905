package deployment

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
)

// A Topology gives the numbers of VMs, data centres, regions and control VMs of a generated deployment.
type Topology struct {
	VMs                 int
	DataCentres         int
	Regions             int
	ControlVMs          int
	DedicatedControlVMs bool // control VMs are not entry VMs as well
}

// Generate prepares a deployment on loopback with generated settings and without a ticket.
func Generate(binary string, topology Topology) (*Deployment, error) {
	dir, err := os.MkdirTemp("", "geraniumdeck-")
	if err != nil {
		return nil, errors.Wrap(err, "deployment")
	}
	d := &Deployment{
		Binary: binary, Folder: dir, Settings: filepath.Join(dir, "settings.yaml"),
		procs: make(map[string]*process), addresses: make(map[string]string), mu: sync.Mutex{},
	}
	return d, errors.Wrap(os.WriteFile(d.Settings, []byte(d.settingsYAML(topology)), 0o600), "deployment")
}

// VMName returns the name of VM i of a generated deployment, counted from 0.
func VMName(i int) string {
	return fmt.Sprintf("vm-%03d", i)
}

// OperatorsAddress returns the address of the operators' listener of VM i of a generated deployment.
func (d *Deployment) OperatorsAddress(i int) string {
	return d.Address(addressKey(i, "operators"))
}

// addressKey returns the key of a listener's address in Deployment.addresses, since a generated deployment has no addresses
// of an example.
func addressKey(i int, listener string) string {
	return fmt.Sprintf("%s/%s", VMName(i), listener)
}

func (d *Deployment) settingsYAML(topology Topology) string {
	var b strings.Builder
	b.WriteString("deployment: generated\nregions:\n")
	for r := range topology.Regions {
		fmt.Fprintf(&b, "  - name: region-%d\n    data-centres: [%s]\n", r, strings.Join(regionDataCentres(topology, r), ", "))
	}
	b.WriteString("vms:\n")
	for i := range topology.VMs {
		b.WriteString(d.vmYAML(topology, i))
	}
	b.WriteString("platform:\n  weight-store: {loads-per-second: 3, concurrent-loads: 9}\n  adapter-loads-in-flight: 70\n")
	return b.String()
}

// regionDataCentres returns the data centres of a region; they are assigned to the regions in turn.
func regionDataCentres(topology Topology, region int) []string {
	var out []string
	for dc := range topology.DataCentres {
		if dc%topology.Regions == region {
			out = append(out, fmt.Sprintf("dc-%d", dc))
		}
	}
	return out
}

func (d *Deployment) vmYAML(topology Topology, i int) string {
	roles := "entry"
	folder := ""
	if i < topology.ControlVMs {
		roles = "entry, control"
		if topology.DedicatedControlVMs {
			roles = "control"
		}
		folder = fmt.Sprintf("    data-folder: %s/data/%d\n", d.Folder, i)
	}
	return fmt.Sprintf("  - name: %s\n    data-centre: dc-%d\n    roles: [%s]\n%s    listen: {callers: %q, peers: %q, operators: %q}\n",
		VMName(i), i%topology.DataCentres, roles, folder,
		d.Address(addressKey(i, "callers")), d.Address(addressKey(i, "peers")), d.OperatorsAddress(i))
}
