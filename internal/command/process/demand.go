package process

import (
	"context"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/api/peer"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// demandTimeout is the timeout of one message to the placement leader.
const demandTimeout = time.Second

// A demandReporter counts the requests and tokens of this VM by model and sends the counts to the placement leader of the
// data centre.
type demandReporter struct {
	deps      *deps
	residency *residencyView
	next      deck.RequestRecorder
	counter   peer.DemandCounter
	client    peer.DemandClient
}

var _ deck.RequestRecorder = (*demandReporter)(nil)

// Record implements deck.RequestRecorder.Record. Refused requests count too, because they are unmet demand.
func (d *demandReporter) Record(s deck.RequestSummary) {
	d.counter.Add(s.Model, 1, s.Tokens)
	d.next.Record(s)
}

func (d *demandReporter) run(ctx context.Context) error {
	vms := len(d.deps.settings.InDataCentre(d.deps.vm.DataCentre))
	t := time.NewTicker(peer.DemandInterval(vms))
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			d.send(ctx, vms)
		}
	}
}

// send sends pending counts to the placement leader. Counts of a lost message are not sent again, because the following
// messages compensate for them.
func (d *demandReporter) send(ctx context.Context, vms int) {
	address, ok := d.deps.address(d.residency.leader(d.deps.vm.DataCentre))
	if !ok {
		return
	}
	rows := d.counter.Take(vms)
	if len(rows) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, demandTimeout)
	defer cancel()
	_ = d.client.Send(ctx, address, deck.DemandReport{VM: d.deps.vm.Name, Counts: rows})
}
