package table

import (
	"net"
	"strings"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A Table is an immutable index of a routing configuration by host and path prefix, and of its customers by their keys; its zero value
// has neither.
type Table struct {
	cfg   *deck.RoutingConfig
	hosts map[string]map[string]deck.Route // by host and prefix

	customers customerIndex
}

// New returns a table of the configuration's routes.
func New(cfg *deck.RoutingConfig) *Table {
	t := &Table{cfg: cfg, hosts: make(map[string]map[string]deck.Route), customers: newCustomerIndex(cfg.Customers)}
	for _, r := range cfg.Routes {
		prefixes := t.hosts[r.Host]
		if prefixes == nil {
			prefixes = make(map[string]deck.Route)
			t.hosts[r.Host] = prefixes
		}
		prefixes[r.Prefix] = r
	}
	return t
}

// Config returns the configuration, or nil for the zero value.
func (t *Table) Config() *deck.RoutingConfig {
	return t.cfg
}

// Match returns the host's route with the longest prefix that matches the path; ok is false if there is none.
func (t *Table) Match(host, path string) (r deck.Route, ok bool) {
	prefixes := t.hosts[normaliseHost(host)]
	if prefixes == nil {
		return deck.Route{}, false
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, ok := prefixes[path[:end+1]]; ok {
			return r, true
		}
	}
	return deck.Route{}, false
}

// PickService picks a service of a route in proportion to the weights; random is a random number in [0, 1).
func PickService(r deck.Route, random float64) deck.ServiceName {
	total := 0.0
	for _, target := range r.Targets {
		total += target.Weight
	}
	left := random * total
	for _, target := range r.Targets {
		if left < target.Weight {
			return target.Service
		}
		left -= target.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}

// normaliseHost returns the host in lower case without a port.
func normaliseHost(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}
