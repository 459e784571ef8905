package peer

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/state/lease"
	"github.com/geraniumdeck/geraniumdeck/internal/state/statemachine"
	"github.com/geraniumdeck/geraniumdeck/internal/test/decktest"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/command"
)

// Guards against a NotProposedError for a command that may be in the log, and against its absence where nothing was
// proposed, which would cost availability.
func TestForwardErrorsAreExact(t *testing.T) {
	noOp := command.Encode(command.Envelope{Command: command.NoOp{}})
	log := decktest.NewFakeLog()
	leader, follower := newControlVM(t, log, "a", nil), newControlVM(t, log, "b", nil)
	startServer := func(h http.HandlerFunc) string {
		s := httptest.NewServer(h)
		t.Cleanup(s.Close)
		return s.Listener.Addr().String()
	}
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	tests := map[string]struct {
		address string
		data    []byte
		fault   decktest.ProposalFault
		want    string
	}{
		"committed":          {leader.peer.Address, noOp, decktest.NoProposalFault, "none"},
		"connection refused": {closed.Listener.Addr().String(), noOp, decktest.NoProposalFault, "not proposed"},
		"follower":           {follower.peer.Address, noOp, decktest.NoProposalFault, "leader a"},
		"not a command":      {leader.peer.Address, []byte("{"), decktest.NoProposalFault, "not proposed"},
		"too large":          {leader.peer.Address, make([]byte, command.MaxBytes+1), decktest.NoProposalFault, "not proposed"},
		"proposal lost":      {leader.peer.Address, noOp, decktest.ProposalLost, "maybe"},
		"answer lost":        {leader.peer.Address, noOp, decktest.ProposalResponseLost, "maybe"},
		"connection cut": {startServer(func(http.ResponseWriter, *http.Request) {
			panic(http.ErrAbortHandler)
		}), noOp, decktest.NoProposalFault, "maybe"},
		"connection reset":  {newResettingServer(t), noOp, decktest.NoProposalFault, "maybe"},
		"unexpected status": {startServer(http.NotFound), noOp, decktest.NoProposalFault, "maybe"},
		"leader is not known": {startServer(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusMisdirectedRequest)
		}), noOp, decktest.NoProposalFault, "leader "},
		"answer is cut off": {startServer(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "9")
			_, _ = w.Write([]byte("{"))
		}), noOp, decktest.NoProposalFault, "maybe"},
		"replica has failed": {startServer(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusInternalServerError)
		}), noOp, decktest.NoProposalFault, "maybe"},
		"address is malformed": {"\x7f", noOp, decktest.NoProposalFault, "not proposed"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			log.SetFault(func() decktest.ProposalFault { return tt.fault })
			_, err := ProposeClient{HTTP: http.DefaultClient}.Forward(t.Context(), deck.Peer{Address: tt.address}, tt.data)
			is.New(t).Equal(errorKind(err), tt.want)
		})
	}
}

// newResettingServer returns the address of a server that resets each connection after its first read.
func newResettingServer(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var g errgroup.Group
	t.Cleanup(func() {
		l.Close()
		_ = g.Wait()
	})
	g.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			_, _ = c.Read(make([]byte, 1))
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	})
	return l.Addr().String()
}

func errorKind(err error) string {
	var notLeader *statemachine.NotLeaderError
	var notProposed *statemachine.NotProposedError
	switch {
	case err == nil:
		return "none"
	case errors.As(err, &notLeader):
		return "leader " + string(notLeader.Leader)
	case errors.As(err, &notProposed):
		return "not proposed"
	default:
		return "maybe"
	}
}

// Guards against lease fields that the codec loses, and against request bodies of unlimited size.
func TestLeaseOverHTTP(t *testing.T) {
	is := is.New(t)
	clock := &decktest.ManualClock{}
	for range 8 {
		clock.Advance(250 * 365 * 24 * time.Hour) // fencing tokens start at the wall clock in milliseconds since 1970
	}
	peers := []deck.Peer{{Name: "a", DataCentre: "x"}}
	voters := lease.NewLocalVoters("a", peers, clock, lease.DefaultDuration)
	elector := lease.NewElector(lease.Config{Self: peers[0], Peers: peers, LocalVoters: voters, Clock: clock})
	mux := http.NewServeMux()
	RegisterLease(mux, voters, elector)
	server := httptest.NewServer(mux)
	defer server.Close()
	to := deck.Peer{Address: server.Listener.Addr().String()}
	client := LeaseClient{HTTP: http.DefaultClient}
	send := func(vm deck.VMName, action lease.Action, token uint64) lease.Response {
		r, err := client.SendRequest(t.Context(), to, lease.Request{
			DataCentre: "x", Action: action, Token: token, Wall: clock.Now(),
			Claimant: lease.Claimant{VM: vm, Instance: "i", Attempt: 1},
		})
		is.NoErr(err)
		return r
	}
	is.Equal(send("b", lease.ActAcquire, 0).Remaining, lease.DefaultDuration)
	clock.Advance(lease.DefaultDuration)
	granted := send("b", lease.ActAcquire, 0)
	is.True(granted.Granted)
	is.Equal(granted.Token, uint64(clock.Now().UnixMilli()))
	is.True(send("b", lease.ActConfirm, granted.Token+5).Granted)
	refused := send("c", lease.ActAcquire, 0)
	is.True(!refused.Granted)
	is.Equal(refused.Holder, deck.VMName("b"))
	is.Equal(refused.Previous, granted.Token+5)
	is.True(refused.Wall.Equal(clock.Now()))
	is.True(send("b", lease.ActRelease, 0).Granted)
	is.True(send("c", lease.ActAcquire, 0).Token > granted.Token+5)
	is.NoErr(client.HandOver(t.Context(), to, lease.Handover{DataCentre: "x", From: "b", Token: 7, Ledger: []byte("l")}))
	for _, body := range []string{"{", `{"action":"steal"}`, `{"vm":"` + strings.Repeat("a", maxLeaseBytes) + `"}`} {
		resp, err := http.Post("http://"+to.Address+leasePath, "application/json", strings.NewReader(body))
		is.NoErr(err)
		resp.Body.Close()
		is.Equal(resp.StatusCode, http.StatusBadRequest)
	}
}
