package peer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A creditStub answers each request with the same answer, or an error.
type creditStub struct {
	mu     sync.Mutex
	asked  deck.CreditRequest
	answer deck.CreditAnswer
	err    error
}

// TakeCredit implements deck.CreditSource.TakeCredit.
func (s *creditStub) TakeCredit(_ context.Context, r deck.CreditRequest) (deck.CreditAnswer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked = r
	return s.answer, s.err
}

// lastSerial returns the serial of the last request.
func (s *creditStub) lastSerial() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asked.Serial
}

// Guards against requests and grants of credit that are changed on their way, against answers of VMs that grant none, and against amounts
// that are negative.
func TestCreditIsDelivered(t *testing.T) {
	is := is.New(t)
	stub := &creditStub{answer: deck.CreditAnswer{Grants: []deck.CreditGrant{
		{Calls: 3, Ahead: 0.25, Share: 2, ShareRate: 0.5, Lease: 400 * time.Millisecond, AheadLease: 3 * time.Second}, {Wait: 1500 * time.Microsecond},
	}}}
	mux := http.NewServeMux()
	RegisterCredit(mux, stub)
	srv := httptest.NewServer(mux)
	defer srv.Close()
	c := &CreditClient{HTTP: srv.Client(), Peers: func() []deck.VMName { return []deck.VMName{vmAt(srv)} }}
	r := deck.CreditRequest{VM: "vm", Process: 1 << 63, Serial: 7, Heard: 6, Needs: []deck.CreditNeed{
		{Customer: "ä \"b\"", Calls: 3, Least: 1, Ahead: 2, Returned: 4, Held: 5, Share: 6, Wanted: 8}, {Customer: "c"},
	}}
	a, err := c.TakeCredit(t.Context(), r)
	is.NoErr(err)
	is.Equal(stub.asked, r)
	is.Equal(a, stub.answer)
	_, err = c.TakeCredit(t.Context(), deck.CreditRequest{Needs: []deck.CreditNeed{{Calls: -1, Returned: -2, Share: -3, Held: -1}}})
	is.NoErr(err)
	is.Equal(stub.asked.Needs, []deck.CreditNeed{{}})
	_, err = c.TakeCredit(t.Context(), deck.CreditRequest{Needs: make([]deck.CreditNeed, maxCreditNeeds+1)})
	is.True(err != nil)
	stub.err = errors.New("not leading")
	_, err = c.TakeCredit(t.Context(), r)
	is.True(err != nil)
	_, err = (&CreditClient{Peers: func() []deck.VMName { return nil }}).TakeCredit(t.Context(), r)
	is.True(err != nil)
}

func vmAt(srv *httptest.Server) deck.VMName {
	return deck.VMName(strings.TrimPrefix(srv.URL, "http://"))
}

// Guards against a VM that goes on to ask a leader which doesn't answer or was deposed, and against one that asks all control VMs always.
func TestCreditComesFromANewLeader(t *testing.T) {
	is := is.New(t)
	var stubs []*creditStub
	var peers []deck.VMName
	for range 3 {
		stub := &creditStub{err: errors.New("not leading")}
		mux := http.NewServeMux()
		RegisterCredit(mux, stub)
		srv := httptest.NewServer(mux)
		defer srv.Close()
		stubs, peers = append(stubs, stub), append(peers, vmAt(srv))
	}
	hanging := make(chan struct{})
	silent := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-hanging }))
	defer silent.Close()
	defer close(hanging)
	c := &CreditClient{HTTP: http.DefaultClient, Peers: func() []deck.VMName { return append(peers, vmAt(silent)) }}
	take := func(serial uint64) error {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := c.TakeCredit(ctx, deck.CreditRequest{Serial: serial})
		return err
	}
	is.True(take(1) != nil) // nobody leads
	for _, stub := range stubs {
		is.Equal(stub.lastSerial(), uint64(1)) // all are asked at once
	}
	stubs[1].err = nil
	is.NoErr(take(2))
	is.NoErr(take(3))
	for _, stub := range []*creditStub{stubs[0], stubs[2]} {
		is.True(stub.lastSerial() < 3) // only the leader is asked again
	}
	stubs[1].err, stubs[2].err = errors.New("deposed"), nil
	is.True(take(4) != nil)
	is.NoErr(take(5))
	is.Equal(stubs[2].lastSerial(), uint64(5))
}
