package process

import (
	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/command/part"
	"github.com/geraniumdeck/geraniumdeck/internal/report/burn"
	"github.com/geraniumdeck/geraniumdeck/internal/report/telemetry"
)

// addMetrics adds the metrics, the burn report and the recorder of finished requests, and creates the HTTP client for peers,
// whose traffic is counted.
func addMetrics(d *deps) error {
	m, err := telemetry.NewMetrics()
	if err != nil {
		return err
	}
	if d.traffic, err = newTrafficCounter(m.Meter()); err != nil {
		return err
	}
	d.client = newPeerClient(d.traffic)
	var objectives []burn.Objective
	for _, o := range d.settings.Objectives {
		objectives = append(objectives, burn.Objective(o))
	}
	b := burn.NewRecorder(d.clock, objectives)
	recorder, err := telemetry.NewRequestMetrics(m.Meter(), b)
	if err != nil {
		return err
	}
	limits := newLimits()
	d.guard = part.Guard{Limits: limits, Memory: newMemory(limits, d.settings.Limits.MaxBodyBytes), Meter: m.Meter()}
	return errors.Join(part.RegisterMemory(m.Meter(), d.guard.Memory), d.kernel.Add(nameMetrics, m), d.kernel.Add(nameBurn, b), d.kernel.Add(nameRequestRecorder, recorder))
}
