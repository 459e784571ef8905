package deck_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// TestDistinctServers guards against two entries for one server, of which another writer's may hide the server.
func TestDistinctServers(t *testing.T) {
	now := time.UnixMilli(1_000_000_000)
	server := func(id, address string, start int64) deck.Server {
		return deck.Server{ID: deck.BackendName(id), Address: address, StartUnixMs: start}
	}
	first, second := server("a", "10.0.0.1:1", 17), server("b", "10.0.0.2:1", 17)
	for _, tc := range []struct {
		name                string
		list, earlier, want []deck.Server
	}{
		{"distinct", []deck.Server{first, second}, nil, []deck.Server{first, second}},
		{"restarted", []deck.Server{first, second, server("a", "10.0.0.3:1", 18)}, []deck.Server{first},
			[]deck.Server{server("a", "10.0.0.3:1", 18), second}},
		{"restarted, listed first", []deck.Server{server("a", "10.0.0.3:1", 18), first}, nil, []deck.Server{server("a", "10.0.0.3:1", 18)}},
		{"start in the future", []deck.Server{server("a", "10.0.0.3:1", now.UnixMilli()*2), first}, nil, []deck.Server{first}},
		{"start missing", []deck.Server{server("a", "10.0.0.3:1", 0), first}, nil, []deck.Server{first}},
		{"same start, known", []deck.Server{server("a", "10.0.0.3:1", 17), first}, []deck.Server{first}, []deck.Server{first}},
		{"same start, known first", []deck.Server{first, server("a", "10.0.0.3:1", 17)}, []deck.Server{first}, []deck.Server{first}},
		{"same start, unknown", []deck.Server{first, server("a", "10.0.0.3:1", 17)}, nil, []deck.Server{first}},
		{"only one, in the future", []deck.Server{server("a", "10.0.0.3:1", now.UnixMilli()*2)}, nil,
			[]deck.Server{server("a", "10.0.0.3:1", now.UnixMilli()*2)}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(deck.DistinctServers(now, tc.list, tc.earlier), tc.want)
		})
	}
}
