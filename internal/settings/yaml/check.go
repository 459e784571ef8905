package yaml

import (
	"fmt"
	"net/netip"
	"net/url"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml/ast"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Defaults of settings that a file omits.
const (
	defaultMaxBodyBytes      = 4 << 20
	defaultMaxStreams        = 2000
	defaultHeaderTimeout     = 5 * time.Second
	defaultDrainTimeout      = 5 * time.Minute
	defaultClockDrift        = 0.01
	defaultOperationLifetime = 10 * time.Second
	defaultTarget            = 0.95
)

// Upper limits of accepted values.
const (
	maxControlVMs = 7
	maxClockDrift = 0.1
	maxBodyBytes  = 64 << 20
	maxStreams    = 100_000
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// checker converts the wire form to Settings and collects the errors.
type checker struct {
	fileName string
	tree     *ast.File
	errs     []error
}

func (c *checker) errorf(path, format string, args ...any) {
	c.errs = append(c.errs, &Error{File: c.fileName, Line: pathLine(c.tree, path), Path: path, Text: fmt.Sprintf(format, args...)})
}

func (c *checker) err() error {
	return errors.Join(c.errs...)
}

func (c *checker) settings(f file) Settings {
	s := Settings{Deployment: f.Deployment}
	c.identifier("deployment", f.Deployment)
	regions := c.regions(f.Regions)
	s.VMs = c.vms(f.VMs, regions)
	s.Platform = c.platform(f.Platform)
	s.Limits = c.limits(f.Limits)
	s.Objectives = c.objectives(f.Objectives)
	s.ClockDrift = f.Safety.ClockDrift
	if s.ClockDrift == 0 {
		s.ClockDrift = defaultClockDrift
	}
	if s.ClockDrift < 0 || s.ClockDrift > maxClockDrift {
		c.errorf("safety.clock-drift", "got %v, expected a share from 0 to %v", s.ClockDrift, maxClockDrift)
	}
	s.OperationLifetime = c.duration("safety.operation-lifetime", f.Safety.OperationLifetime,
		defaultOperationLifetime, time.Second, time.Hour)
	return s
}

func (c *checker) regions(rs []region) map[deck.DataCentre]deck.Region {
	out := make(map[deck.DataCentre]deck.Region)
	if len(rs) == 0 {
		c.errorf("regions", "none given, expected at least one region with its data centres")
	}
	for i, r := range rs {
		path := fmt.Sprintf("regions[%d]", i)
		c.identifier(path+".name", r.Name)
		for j, dc := range r.DataCentres {
			dcPath := fmt.Sprintf("%s.data-centres[%d]", path, j)
			c.identifier(dcPath, dc)
			if other, ok := out[deck.DataCentre(dc)]; ok {
				c.errorf(dcPath, "data centre %q already belongs to region %q", dc, other)
			}
			out[deck.DataCentre(dc)] = deck.Region(r.Name)
		}
	}
	return out
}

func (c *checker) vms(vs []vm, regions map[deck.DataCentre]deck.Region) []VM {
	out := make([]VM, 0, len(vs))
	names := make(map[string]bool)
	addresses := make(map[string]string)
	control := 0
	for i, v := range vs {
		path := fmt.Sprintf("vms[%d]", i)
		checked := c.vm(path, v, regions)
		if names[v.Name] {
			c.errorf(path+".name", "VM %q is listed twice", v.Name)
		}
		names[v.Name] = true
		c.listen(path+".listen", checked, addresses)
		if checked.Has(RoleControl) {
			control++
		}
		out = append(out, checked)
	}
	c.controlCount(control)
	return out
}

func (c *checker) controlCount(n int) {
	switch {
	case n == 0:
		c.errorf("vms", "no VM has the role control, expected 1, 3, 5 or 7")
	case n%2 == 0 || n > maxControlVMs:
		c.errorf("vms", "%d VMs have the role control, expected 1, 3, 5 or 7", n)
	}
}

func (c *checker) vm(path string, v vm, regions map[deck.DataCentre]deck.Region) VM {
	c.identifier(path+".name", v.Name)
	r, ok := regions[deck.DataCentre(v.DataCentre)]
	if !ok {
		c.errorf(path+".data-centre", "data centre %q is in no region, expected one listed under regions", v.DataCentre)
	}
	out := VM{
		Name: deck.VMName(v.Name), DataCentre: deck.DataCentre(v.DataCentre), Region: r,
		DataFolder: v.DataFolder, Listen: Listen(v.Listen),
	}
	if len(v.Roles) == 0 {
		c.errorf(path+".roles", "none given, expected entry, control or both")
	}
	for j, role := range v.Roles {
		switch Role(role) {
		case RoleEntry, RoleControl:
			out.Roles = append(out.Roles, Role(role))
		default:
			c.errorf(fmt.Sprintf("%s.roles[%d]", path, j), "got %q, expected entry or control", role)
		}
	}
	if out.Has(RoleControl) && v.DataFolder == "" {
		c.errorf(path, "role control needs a data-folder on a disk")
	}
	if v.DataFolder != "" && !filepath.IsAbs(v.DataFolder) {
		c.errorf(path+".data-folder", "got %q, expected an absolute path", v.DataFolder)
	}
	return out
}

func (c *checker) listen(path string, v VM, usedBy map[string]string) {
	listeners := []struct {
		key, value string
		required   bool
	}{
		{"callers", v.Listen.Callers, v.Has(RoleEntry)},
		{"peers", v.Listen.Peers, true},
		{"operators", v.Listen.Operators, true},
	}
	for _, l := range listeners {
		keyPath := path + "." + l.key
		if l.value == "" {
			if l.required {
				c.errorf(keyPath, "missing, expected IP:port")
			}
			continue
		}
		ap, err := netip.ParseAddrPort(l.value)
		if err != nil || ap.Port() == 0 {
			c.errorf(keyPath, "got %q, expected IP:port with a port from 1 to 65535", l.value)
			continue
		}
		if other, ok := usedBy[l.value]; ok {
			c.errorf(keyPath, "address %s is already used by %s", l.value, other)
		}
		usedBy[l.value] = keyPath
	}
}

func (c *checker) platform(p platform) Platform {
	out := Platform{
		VMList: p.VMList, WeightStore: p.WeightStore.Address, LoadsPerSecond: p.WeightStore.LoadsPerSecond,
		ConcurrentLoads: p.WeightStore.ConcurrentLoads, AdapterLoadsInFlight: p.AdapterLoadsInFlight,
	}
	c.url("platform.vm-list", p.VMList)
	c.url("platform.weight-store.address", p.WeightStore.Address)
	if out.LoadsPerSecond <= 0 {
		c.errorf("platform.weight-store.loads-per-second", "got %v, expected a number above 0", out.LoadsPerSecond)
	}
	if out.ConcurrentLoads <= 0 {
		c.errorf("platform.weight-store.concurrent-loads", "got %d, expected a whole number above 0", out.ConcurrentLoads)
	}
	if out.AdapterLoadsInFlight <= 0 {
		c.errorf("platform.adapter-loads-in-flight", "got %d, expected a whole number above 0", out.AdapterLoadsInFlight)
	}
	return out
}

func (c *checker) limits(l limits) Limits {
	out := Limits{
		MaxBodyBytes:  c.size("limits.max-body", l.MaxBody, defaultMaxBodyBytes, maxBodyBytes),
		MaxStreams:    c.count("limits.max-streams", l.MaxStreams, defaultMaxStreams, maxStreams),
		HeaderTimeout: c.duration("limits.header-timeout", l.HeaderTimeout, defaultHeaderTimeout, 100*time.Millisecond, time.Minute),
		DrainTimeout:  c.duration("limits.drain-timeout", l.DrainTimeout, defaultDrainTimeout, time.Second, time.Hour),
	}
	return out
}

func (c *checker) objectives(objs []objective) []Objective {
	if len(objs) == 0 {
		return []Objective{{Class: deck.Interactive, FirstToken: time.Second, BetweenTokens: 47 * time.Millisecond, Target: defaultTarget}}
	}
	out := make([]Objective, 0, len(objs))
	seen := make(map[string]bool)
	for i, o := range objs {
		path := fmt.Sprintf("objectives[%d]", i)
		checked := Objective{Target: o.Target}
		switch o.Class {
		case deck.Interactive.String():
		case deck.Batch.String():
			checked.Class = deck.Batch
		default:
			c.errorf(path+".class", "got %q, expected interactive or batch", o.Class)
		}
		if seen[o.Class] {
			c.errorf(path+".class", "class %q is listed twice", o.Class)
		}
		seen[o.Class] = true
		checked.FirstToken = c.duration(path+".first-token", o.FirstToken, time.Second, time.Millisecond, time.Hour)
		checked.BetweenTokens = c.duration(path+".between-tokens", o.BetweenTokens, 47*time.Millisecond, time.Millisecond, time.Minute)
		if o.Target <= 0 || o.Target >= 1 {
			c.errorf(path+".target", "got %v, expected a share above 0 and below 1", o.Target)
		}
		out = append(out, checked)
	}
	return out
}

func (c *checker) identifier(path, name string) {
	if !namePattern.MatchString(name) {
		c.errorf(path, "got %q, expected lower-case letters, digits and hyphens, 1 to 63 characters", name)
	}
}

func (c *checker) url(path, s string) {
	if s == "" {
		return
	}
	u, err := url.Parse(s)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		c.errorf(path, "got %q, expected http://IP:port", s)
	}
}

func (c *checker) duration(path, s string, def, low, high time.Duration) time.Duration {
	if s == "" {
		return def
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		c.errorf(path, "got %q, expected a duration with a unit such as 500ms or 10s", s)
		return def
	}
	if d < low || d > high {
		c.errorf(path, "got %s, expected %s to %s", d, low, high)
		return def
	}
	return d
}

func (c *checker) count(path string, n, def, high int) int {
	if n == 0 {
		return def
	}
	if n < 0 || n > high {
		c.errorf(path, "got %d, expected 1 to %d", n, high)
		return def
	}
	return n
}

func (c *checker) size(path, s string, def, high int64) int64 {
	if s == "" {
		return def
	}
	for suffix, unit := range map[string]int64{"KiB": 1 << 10, "MiB": 1 << 20} {
		digits, ok := strings.CutSuffix(s, suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 32)
		if err != nil || n <= 0 || n*unit > high {
			break
		}
		return n * unit
	}
	c.errorf(path, "got %q, expected a size in KiB or MiB up to %d MiB, such as 512KiB", s, high>>20)
	return def
}
