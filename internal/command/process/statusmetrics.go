package process

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/metric"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/core/kernel"
	"github.com/geraniumdeck/geraniumdeck/internal/place/execute"
	"github.com/geraniumdeck/geraniumdeck/internal/report/telemetry"
	"github.com/geraniumdeck/geraniumdeck/internal/state/feed"
	"github.com/geraniumdeck/geraniumdeck/internal/state/lease"
)

// Units of the status metrics. Names in braces are annotations that don't scale the value.
const (
	unitSeconds = "s"
	unitBoolean = "{boolean}" // 1 for true, 0 for false
)

// addStatusMetrics registers the metrics of the state, the log, the placement lease and the placement.
func addStatusMetrics(d *deps) error {
	m, err := kernel.Find[*telemetry.Metrics](d.kernel, nameMetrics)
	if err != nil {
		return err
	}
	l, err := kernel.Find[*lease.Elector](d.kernel, nameLease)
	if err != nil {
		return err
	}
	x, err := kernel.Find[*execute.Executor](d.kernel, namePlacement)
	if err != nil {
		return err
	}
	sm := &statusMetrics{store: d.store, lease: l, skew: l.Skew, placement: x.Status}
	if d.control != nil {
		sm.log = d.control.node.Status
	}
	return sm.register(m.Meter())
}

// A statusMetrics reads the status of the state, the log, the lease and the placement whenever the metrics are scraped.
type statusMetrics struct {
	store     *feed.Store
	log       func() deck.LogStatus // nil without a replica of the log
	lease     deck.LeaseSource
	skew      func() time.Duration
	placement func() execute.Status
}

// register creates the instruments and registers their callbacks.
func (m *statusMetrics) register(meter metric.Meter) error {
	return errors.Join(m.registerState(meter), m.registerLog(meter), m.registerLease(meter), m.registerPlacement(meter))
}

func (m *statusMetrics) registerState(meter metric.Meter) error {
	i := &instrumentSet{meter: meter}
	version := i.gauge("geraniumdeck.state.version", "{version}", "State version in force on this VM.")
	proven := i.gauge("geraniumdeck.state.proven", unitBoolean, "Whether the state in force is proven to be fresh.")
	age := i.secondsGauge("geraniumdeck.state.proof_age", "Time since the state was last proven to be fresh.")
	saveErrors := i.counter("geraniumdeck.state.save_errors", "{error}", "Failed writes of the state file.")
	return i.registerCallback(func(o metric.Observer) {
		o.ObserveInt64(version, int64(m.store.State().Version()))
		o.ObserveInt64(saveErrors, int64(m.store.SaveErrors()))
		d, ok := m.store.ProofAge()
		o.ObserveInt64(proven, boolToInt(ok))
		if ok {
			o.ObserveFloat64(age, d.Seconds())
		}
	})
}

// registerLog registers nothing on a VM that holds no replica.
func (m *statusMetrics) registerLog(meter metric.Meter) error {
	if m.log == nil {
		return nil
	}
	i := &instrumentSet{meter: meter}
	leads := i.gauge("geraniumdeck.log.leads", unitBoolean, "Whether this VM leads the replicated log.")
	takesPart := i.gauge("geraniumdeck.log.takes_part", unitBoolean, "Whether the replica works, without a storage fault.")
	term := i.gauge("geraniumdeck.log.term", "{term}", "Term of the replicated log.")
	commit := i.gauge("geraniumdeck.log.commit_index", "{entry}", "Index of the last committed entry.")
	applied := i.gauge("geraniumdeck.log.applied_index", "{entry}", "Index of the last applied entry.")
	return i.registerCallback(func(o metric.Observer) {
		s := m.log()
		works := s.FailureReason == ""
		o.ObserveInt64(leads, boolToInt(works && s.Leader.VM != "" && s.Leader == s.Self))
		o.ObserveInt64(takesPart, boolToInt(works))
		o.ObserveInt64(term, int64(s.Term))
		o.ObserveInt64(commit, int64(s.CommitIndex))
		o.ObserveInt64(applied, int64(s.AppliedIndex))
	})
}

func (m *statusMetrics) registerLease(meter metric.Meter) error {
	i := &instrumentSet{meter: meter}
	held := i.gauge("geraniumdeck.placement.lease_held", unitBoolean, "Whether this VM holds the placement lease.")
	token := i.gauge("geraniumdeck.placement.fencing_token", "{token}", "Fencing token of the lease that this VM holds.")
	difference := i.secondsGauge("geraniumdeck.clock.difference",
		"Largest difference between the wall clocks of this VM and of another voter.")
	return i.registerCallback(func(o metric.Observer) {
		l, ok := m.lease.Held()
		o.ObserveInt64(held, boolToInt(ok))
		if ok {
			o.ObserveInt64(token, int64(l.FencingToken))
		}
		o.ObserveFloat64(difference, m.skew().Seconds())
	})
}

// registerPlacement registers metrics that only the placement leader can report. Other VMs report no values, so that the last
// values of a former leader don't add to those of its successor.
func (m *statusMetrics) registerPlacement(meter metric.Meter) error {
	i := &instrumentSet{meter: meter}
	atRisk := i.gauge("geraniumdeck.placement.models_at_risk", "{model}", "Models with only one home data centre.")
	missing := i.gauge("geraniumdeck.placement.models_missing", "{model}", "Home models for which no engine has room.")
	waiting := i.gauge("geraniumdeck.placement.loads_waiting", "{load}", "Loads that the weight store's share holds back.")
	disagreements := i.gauge("geraniumdeck.placement.ledger_disagreements", "{engine}",
		"Engines whose report differs from the memory ledger.")
	return i.registerCallback(func(o metric.Observer) {
		s := m.placement()
		if _, held := m.lease.Held(); !held || !s.HoldsLease {
			return
		}
		o.ObserveInt64(atRisk, int64(len(s.AtRisk)))
		o.ObserveInt64(missing, int64(len(s.Missing)))
		o.ObserveInt64(waiting, int64(s.WaitingLoads))
		o.ObserveInt64(disagreements, int64(len(s.Disagreements)))
	})
}

// An instrumentSet creates observable instruments and collects their errors until registerCallback returns them.
type instrumentSet struct {
	meter       metric.Meter
	observables []metric.Observable
	errs        []error
}

func (i *instrumentSet) gauge(name, unit, description string) metric.Int64Observable {
	g, err := i.meter.Int64ObservableGauge(name, metric.WithUnit(unit), metric.WithDescription(description))
	i.add(g, err)
	return g
}

func (i *instrumentSet) counter(name, unit, description string) metric.Int64Observable {
	c, err := i.meter.Int64ObservableCounter(name, metric.WithUnit(unit), metric.WithDescription(description))
	i.add(c, err)
	return c
}

func (i *instrumentSet) secondsGauge(name, description string) metric.Float64Observable {
	g, err := i.meter.Float64ObservableGauge(name, metric.WithUnit(unitSeconds), metric.WithDescription(description))
	i.add(g, err)
	return g
}

func (i *instrumentSet) add(o metric.Observable, err error) {
	i.observables, i.errs = append(i.observables, o), append(i.errs, err)
}

// registerCallback registers one callback for all instruments and returns the errors of their creation too.
func (i *instrumentSet) registerCallback(f func(metric.Observer)) error {
	_, err := i.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		f(o)
		return nil
	}, i.observables...)
	return errors.Join(append(i.errs, err)...)
}

func boolToInt(v bool) int64 {
	if v {
		return 1
	}
	return 0
}
