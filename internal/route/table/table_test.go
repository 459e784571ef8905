package table_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/route/table"
)

func TestMatchLongestPrefix(t *testing.T) {
	routes := []deck.Route{
		{Name: "all", Host: "a.example", Prefix: "/"},
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}
	tb := table.New(&deck.RoutingConfig{Routes: routes})
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "long"},
		{"a.example", "/x/yz", "short"},
		{"A.Example:80", "/x/", "short"},
		{"a.example", "/xx/y", "all"},
		{"b.example", "/x/y/z", "other"},
		{"b.example", "/y", ""},
		{"c.example", "/x/", ""},
		{"a.example", "", ""},
	} {
		t.Run(c.host+c.path, func(t *testing.T) {
			is := is.New(t)
			r, ok := tb.Match(c.host, c.path)
			is.Equal(r.Name, c.want)
			is.Equal(ok, c.want != "")
		})
	}
}

func TestPickServiceFollowsTheWeights(t *testing.T) {
	is := is.New(t)
	r := deck.Route{Targets: []deck.RouteTarget{{Service: "a", Weight: 90}, {Service: "none"}, {Service: "b", Weight: 10}}}
	is.Equal(table.PickService(r, 0), deck.ServiceName("a"))
	is.Equal(table.PickService(r, 0.89), deck.ServiceName("a"))
	is.Equal(table.PickService(r, 0.9), deck.ServiceName("b"))
	is.Equal(table.PickService(r, 0.999), deck.ServiceName("b"))
}
