package peer

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A fakeVerdicts has one verdict, on the VM that leads.
type fakeVerdicts struct {
	leader deck.VMName // another VM; empty on the leader
	lifted []uint64
}

func (*fakeVerdicts) Verdicts() []deck.Verdict { return []deck.Verdict{{Suspect: 1 << 63}} }

func (v *fakeVerdicts) LiftVerdict(_ context.Context, suspect uint64) (bool, error) {
	if v.leader != "" {
		return false, deck.NotLeaderError{Leader: deck.ReplicaID{VM: v.leader, Incarnation: 1}}
	}
	v.lifted = append(v.lifted, suspect)
	return suspect == 1<<63, nil
}

// Guards against an operator whose request is lost because it reached a VM that doesn't lead.
func TestVerdictIsLiftedOnTheLeader(t *testing.T) {
	is := is.New(t)
	leader := &fakeVerdicts{}
	mux := http.NewServeMux()
	RegisterControlAPI(mux, ControlAPI{Verdicts: leader})
	srv := httptest.NewServer(mux)
	defer srv.Close()
	address := deck.VMName(strings.TrimPrefix(srv.URL, "http://"))
	follower := ForwardingVerdicts{Local: &fakeVerdicts{leader: address}, Forwarder: ControlClient{HTTP: srv.Client()}}
	lifted, err := follower.LiftVerdict(t.Context(), 1<<63)
	is.NoErr(err)
	is.True(lifted)
	lifted, err = follower.LiftVerdict(t.Context(), 5)
	is.NoErr(err)
	is.True(!lifted)
	is.Equal(leader.lifted, []uint64{1 << 63, 5})
	leader.leader = "another" // the leader that was known leads no more
	_, err = follower.LiftVerdict(t.Context(), 1<<63)
	is.True(err != nil)
	var notLeader deck.NotLeaderError
	is.True(!errors.As(err, &notLeader))
}
