package process

import (
	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/report/burn"
	"github.com/geraniumdeck/geraniumdeck/internal/report/telemetry"
)

// addMetrics builds the meter, the burn report and the recorder of finished requests.
func addMetrics(p *parts) error {
	m, err := telemetry.NewMetrics()
	if err != nil {
		return err
	}
	if p.traffic, err = newTraffic(m.Meter()); err != nil {
		return err
	}
	p.client = newPeerClient(p.traffic)
	var objectives []burn.Objective
	for _, o := range p.settings.Objectives {
		objectives = append(objectives, burn.Objective(o))
	}
	b := burn.NewRecorder(p.clock, objectives)
	served, err := telemetry.NewServedMetrics(m.Meter(), b)
	if err != nil {
		return err
	}
	return errors.Join(p.kernel.Add(nameMetrics, m), p.kernel.Add(nameBurn, b), p.kernel.Add(nameServed, served))
}
