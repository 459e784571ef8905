package deployment

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
)

// A Size is the size of a generated deployment.
type Size struct {
	VMs         int
	DataCentres int
	Regions     int
	Controls    int
	Dedicated   bool // control VMs have no other role
}

// Generate prepares a deployment of a size on loopback without a ticket.
func Generate(binary string, size Size) (*Deployment, error) {
	dir, err := os.MkdirTemp("", "geraniumdeck-")
	if err != nil {
		return nil, errors.Wrap(err, "deployment")
	}
	d := &Deployment{
		Binary: binary, Folder: dir, Settings: filepath.Join(dir, "settings.yaml"),
		procs: make(map[string]*process), ports: make(map[string]string), mu: sync.Mutex{},
	}
	return d, errors.Wrap(os.WriteFile(d.Settings, []byte(d.settings(size)), 0o600), "deployment")
}

// VMName returns the name of VM i of a generated deployment, counted from 0.
func VMName(i int) string {
	return fmt.Sprintf("vm-%03d", i)
}

// Operators returns the address of the operators' listener of VM i of a generated deployment.
func (d *Deployment) Operators(i int) string {
	return d.Address(generated(i, "operators"))
}

// generated names an address of a generated deployment, which has no example.
func generated(i int, listener string) string {
	return fmt.Sprintf("%s/%s", VMName(i), listener)
}

func (d *Deployment) settings(size Size) string {
	var b strings.Builder
	b.WriteString("deployment: generated\nregions:\n")
	for r := range size.Regions {
		fmt.Fprintf(&b, "  - name: region-%d\n    data-centres: [%s]\n", r, strings.Join(dataCentres(size, r), ", "))
	}
	b.WriteString("vms:\n")
	for i := range size.VMs {
		b.WriteString(d.vm(size, i))
	}
	b.WriteString("platform:\n  weight-store: {loads-per-second: 3, concurrent-loads: 9}\n  adapter-loads-in-flight: 70\n")
	return b.String()
}

func dataCentres(size Size, region int) []string {
	var out []string
	for dc := range size.DataCentres {
		if dc%size.Regions == region {
			out = append(out, fmt.Sprintf("dc-%d", dc))
		}
	}
	return out
}

func (d *Deployment) vm(size Size, i int) string {
	roles := "entry"
	folder := ""
	if i < size.Controls {
		roles = "entry, control"
		if size.Dedicated {
			roles = "control"
		}
		folder = fmt.Sprintf("    data-folder: %s/data/%d\n", d.Folder, i)
	}
	return fmt.Sprintf("  - name: %s\n    data-centre: dc-%d\n    roles: [%s]\n%s    listen: {callers: %q, peers: %q, operators: %q}\n",
		VMName(i), i%size.DataCentres, roles, folder,
		d.Address(generated(i, "callers")), d.Address(generated(i, "peers")), d.Operators(i))
}
