package routing_test

import (
	"bytes"
	"context"
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/state/routing"
	"github.com/geraniumdeck/geraniumdeck/platform"
)

func apply(is *is.I, m *routing.Machine, version uint64, body string) {
	command, err := routing.Encode(deck.RoutingDocument{Version: version, Body: []byte(body)})
	is.NoErr(err)
	is.Equal(len(m.Apply(1, command)), 0)
}

func TestHighestVersionWins(t *testing.T) {
	is := is.New(t)
	var changes []uint64
	m := &routing.Machine{OnChange: func(d deck.RoutingDocument) { changes = append(changes, d.Version) }}
	apply(is, m, 3, "three")
	apply(is, m, 2, "two")
	apply(is, m, 3, "other content")
	is.Equal(string(m.Document().Body), "three")
	apply(is, m, 7, "seven")
	is.Equal(changes, []uint64{3, 7})
	s, err := m.Snapshot()
	is.NoErr(err)
	other := &routing.Machine{}
	is.NoErr(other.Restore(s))
	is.Equal(other.Document(), m.Document())
}

// Guards against a document with thousands of routes that is too large for a log entry.
func TestLargeDocumentFitsIntoAnEntry(t *testing.T) {
	is := is.New(t)
	body := bytes.Repeat([]byte(`{"name":"r-h2b9wu3","host":"ficu95.example","pathPrefix":"/pufi791/","kind":"stream"},`), 4000)
	command, err := routing.Encode(deck.RoutingDocument{Version: 1, Body: body})
	is.NoErr(err)
	is.True(len(command) < 128<<10)
	d, err := routing.Decode(command)
	is.NoErr(err)
	is.Equal(d.Body, body)
}

// A fakeLog is a log of one replica.
type fakeLog struct {
	machine  *routing.Machine
	status   deck.LogStatus
	barrier  error
	proposed int
}

func (l *fakeLog) Propose(_ context.Context, command []byte) ([]byte, error) {
	l.proposed++
	return l.machine.Apply(1, command), nil
}
func (l *fakeLog) Barrier(context.Context) error { return l.barrier }
func (l *fakeLog) Status() deck.LogStatus        { return l.status }

func newStore() (*routing.Store, *fakeLog) {
	m := &routing.Machine{}
	self := deck.ReplicaID{VM: "a", Incarnation: 1}
	l := &fakeLog{machine: m, status: deck.LogStatus{Self: self, Leader: self}}
	return &routing.Store{Log: l, Machine: m, Decoder: platform.RoutingDecoder{}, Logger: logr.Discard()}, l
}

func TestStore(t *testing.T) {
	is := is.New(t)
	s, l := newStore()
	ctx := context.Background()
	_, err := s.Routing(ctx)
	is.True(err != nil) // no document yet
	is.NoErr(s.PutRouting(ctx, []byte(`{"version":5}`)))
	is.NoErr(s.PutRouting(ctx, []byte(`{"version":5,"routes":[]}`))) // acknowledged, without effect
	is.NoErr(s.PutRouting(ctx, []byte(`{"version":4}`)))
	is.Equal(l.proposed, 1)
	d, err := s.Routing(ctx)
	is.NoErr(err)
	is.Equal(string(d.Body), `{"version":5}`)
	is.True(errors.Is(s.PutRouting(ctx, []byte(`{"version":`)), deck.ErrInvalidRouting))
	l.barrier = errors.New("no majority")
	_, err = s.Routing(ctx)
	is.True(err != nil)                                        // without a barrier the document may be stale
	is.True(s.PutRouting(ctx, []byte(`{"version":4}`)) != nil) // without a barrier the newer document may not be durable
	l.status.Leader = deck.ReplicaID{}
	is.True(s.PutRouting(ctx, []byte(`{"version":9}`)) != nil)
	is.Equal(l.proposed, 1)
}

// Guards against deltas that load narrow links as much as whole documents when many VMs get versions in quick succession, and
// against a delta applied to the wrong base.
func TestDeltaIsSmall(t *testing.T) {
	is := is.New(t)
	var b bytes.Buffer
	for i := range 2000 {
		fmt.Fprintf(&b, `{"name":"r-%d","host":"h%d.example","pathPrefix":"/p%x/"},`, i, i%7, i*7919)
	}
	base := deck.RoutingDocument{Version: 7, Body: b.Bytes()}
	next := deck.RoutingDocument{Version: 8, Body: bytes.Replace(b.Bytes(), []byte(`"r-1000"`), []byte(`"other"`), 1)}
	p, err := routing.Pack(next, base)
	is.NoErr(err)
	is.True(len(p.Data) < 1000)
	d, err := routing.Unpack(p, base)
	is.NoErr(err)
	is.Equal(d.Version, uint64(8))
	is.True(bytes.Equal(d.Body, next.Body))
	_, err = routing.Unpack(p, deck.RoutingDocument{Version: 6, Body: base.Body})
	is.True(err != nil)
	whole, err := routing.Pack(next, deck.RoutingDocument{})
	is.NoErr(err)
	d, err = routing.Unpack(whole, base)
	is.NoErr(err)
	is.True(bytes.Equal(d.Body, next.Body))
}
