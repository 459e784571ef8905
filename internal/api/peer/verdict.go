package peer

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	liftVerdictPath    = "/peer/lift-verdict"
	liftVerdictTimeout = 2 * time.Second // covers round trips between regions
)

type liftVerdictJSON struct {
	Suspect uint64 `json:"suspect"`
}

type liftedVerdictJSON struct {
	Lifted bool `json:"lifted"`
}

func (a ControlAPI) serveLiftVerdict(w http.ResponseWriter, r *http.Request) {
	var req liftVerdictJSON
	if !readJSON(w, r, &req) {
		return
	}
	lifted, err := a.Verdicts.LiftVerdict(r.Context(), req.Suspect)
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	writeJSON(w, mustMarshal(liftedVerdictJSON{lifted}))
}

// A ForwardingVerdicts is a deck.VerdictRegistry that lifts verdicts on the leader.
type ForwardingVerdicts struct {
	Local     deck.VerdictRegistry
	Forwarder ControlClient
}

var _ deck.VerdictRegistry = ForwardingVerdicts{}

// Verdicts implements deck.VerdictRegistry.Verdicts.
func (v ForwardingVerdicts) Verdicts() []deck.Verdict {
	return v.Local.Verdicts()
}

// LiftVerdict implements deck.VerdictRegistry.LiftVerdict.
func (v ForwardingVerdicts) LiftVerdict(ctx context.Context, suspect uint64) (bool, error) {
	lifted, err := v.Local.LiftVerdict(ctx, suspect)
	var notLeader deck.NotLeaderError
	if !errors.As(err, &notLeader) || notLeader.Leader.IsZero() {
		return lifted, err
	}
	ctx, cancel := context.WithTimeout(ctx, liftVerdictTimeout)
	defer cancel()
	var resp liftedVerdictJSON
	err = v.Forwarder.post(ctx, notLeader.Leader.VM, liftVerdictPath, liftVerdictJSON{suspect}, &resp)
	return resp.Lifted, err
}
