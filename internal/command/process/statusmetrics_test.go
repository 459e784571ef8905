package process

import (
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/core/kernel"
	"github.com/geraniumdeck/geraniumdeck/internal/place/execute"
	"github.com/geraniumdeck/geraniumdeck/internal/place/memory"
	"github.com/geraniumdeck/geraniumdeck/internal/report/telemetry"
	settings "github.com/geraniumdeck/geraniumdeck/internal/settings/yaml"
	"github.com/geraniumdeck/geraniumdeck/internal/state/feed"
	"github.com/geraniumdeck/geraniumdeck/internal/test/decktest"
)

// A fixedLease is a lease source that never changes.
type fixedLease struct {
	held bool
}

// Held implements deck.LeaseSource.Held.
func (l fixedLease) Held() (deck.PlacementLease, bool) {
	return deck.PlacementLease{FencingToken: 12}, l.held
}

// A fullDisk is a feed.Saver that always fails.
type fullDisk struct{}

// Save implements feed.Saver.Save.
func (fullDisk) Save(deck.State) error {
	return errors.New("no space")
}

// scrape returns the scraped values by metric name, without labels.
func scrape(t *testing.T, m *telemetry.Metrics) map[string]string {
	t.Helper()
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), "GET", "/metrics", nil))
	out := make(map[string]string)
	for line := range strings.Lines(w.Body.String()) {
		name, rest, ok := strings.Cut(strings.TrimSpace(line), "{")
		if ok && strings.HasPrefix(name, "geraniumdeck_") {
			out[name] = rest[strings.LastIndexByte(rest, ' ')+1:]
		}
	}
	return out
}

// newTestMetrics returns metrics of fixed values, with the lease held or not, and the clock of their store.
func newTestMetrics(held bool) (*statusMetrics, *decktest.ManualClock) {
	clock := &decktest.ManualClock{}
	self := deck.ReplicaID{VM: "control-1", Incarnation: 1}
	return &statusMetrics{
		store: feed.NewStore("control-1", clock, fullDisk{}, deck.State{}, false),
		log: func() deck.LogStatus {
			return deck.LogStatus{Self: self, Leader: self, Term: 3, CommitIndex: 42, AppliedIndex: 41}
		},
		lease: fixedLease{held},
		skew:  func() time.Duration { return 250 * time.Millisecond },
		placement: func() execute.Status {
			return execute.Status{
				HoldsLease: true, AtRisk: []deck.ModelName{"a", "b"}, Missing: []deck.ModelName{"c"}, WaitingLoads: 4,
				Disagreements: map[deck.BackendName]memory.Disagreement{"e": {}},
			}
		},
	}, clock
}

// Guards against a status that is missing from the scrape endpoint, and against metric names without a unit.
func TestStatusMetricsAreScraped(t *testing.T) {
	is := is.New(t)
	sm, clock := newTestMetrics(true)
	m, err := telemetry.NewMetrics()
	is.NoErr(err)
	is.NoErr(sm.register(m.Meter()))
	sm.store.Install(deck.State{}.WithTicket(deck.Ticket{Number: 1}, 41))
	sm.store.RecordProof(clock.Now(), 41)
	clock.Advance(1500 * time.Millisecond)
	is.Equal(scrape(t, m), map[string]string{
		"geraniumdeck_state_version":                  "41",
		"geraniumdeck_state_proven":                   "1",
		"geraniumdeck_state_proof_age_seconds":        "1.5",
		"geraniumdeck_state_save_errors_total":        "1",
		"geraniumdeck_log_leads":                      "1",
		"geraniumdeck_log_takes_part":                 "1",
		"geraniumdeck_log_term":                       "3",
		"geraniumdeck_log_commit_index":               "42",
		"geraniumdeck_log_applied_index":              "41",
		"geraniumdeck_placement_lease_held":           "1",
		"geraniumdeck_placement_fencing_token":        "12",
		"geraniumdeck_clock_difference_seconds":       "0.25",
		"geraniumdeck_placement_models_at_risk":       "2",
		"geraniumdeck_placement_models_missing":       "1",
		"geraniumdeck_placement_loads_waiting":        "4",
		"geraniumdeck_placement_ledger_disagreements": "1",
	})
}

// Guards against a VM that reports a lost lease as held, an unproven state as proven or a failed replica as healthy.
func TestStatusMetricsWithoutLeaseAndProof(t *testing.T) {
	is := is.New(t)
	sm, _ := newTestMetrics(false)
	self := deck.ReplicaID{VM: "control-1", Incarnation: 1}
	sm.log = func() deck.LogStatus { return deck.LogStatus{Self: self, Leader: self, FailureReason: "checksum"} }
	m, err := telemetry.NewMetrics()
	is.NoErr(err)
	is.NoErr(sm.register(m.Meter()))
	is.Equal(scrape(t, m), map[string]string{
		"geraniumdeck_state_version":            "0",
		"geraniumdeck_state_proven":             "0",
		"geraniumdeck_state_save_errors_total":  "0",
		"geraniumdeck_log_leads":                "0",
		"geraniumdeck_log_takes_part":           "0",
		"geraniumdeck_log_term":                 "0",
		"geraniumdeck_log_commit_index":         "0",
		"geraniumdeck_log_applied_index":        "0",
		"geraniumdeck_placement_lease_held":     "0",
		"geraniumdeck_clock_difference_seconds": "0.25",
	})
}

// Guards against a process that does not register the status metrics, or reports metrics of the log without a replica.
func TestProcessRegistersStatusMetrics(t *testing.T) {
	for vm, replica := range map[deck.VMName]bool{"control-1": true, "entry-1": false} {
		t.Run(string(vm), func(t *testing.T) {
			is := is.New(t)
			s, err := settings.Read("../../../examples/single-machine.yaml")
			is.NoErr(err)
			v, ok := s.VM(vm)
			is.True(ok)
			if replica {
				v.DataFolder = t.TempDir()
			}
			d := newDeps(s, v, logr.Discard(), &kernel.Kernel{})
			for _, step := range []func(*deps) error{addMetrics, addState, addLease, addPlacement, addStatusMetrics} {
				is.NoErr(step(d))
			}
			m, err := kernel.Find[*telemetry.Metrics](d.kernel, nameMetrics)
			is.NoErr(err)
			got := scrape(t, m)
			is.Equal(got["geraniumdeck_state_version"], "0")
			is.Equal(got["geraniumdeck_placement_lease_held"], "0")
			_, ok = got["geraniumdeck_log_takes_part"]
			is.Equal(ok, replica)
		})
	}
}

// Guards against a metric that is missing from the table in the operators' documentation.
func TestStatusMetricsAreDocumented(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../../docs/operating/watching.md")
	is.NoErr(err)
	sm, clock := newTestMetrics(true)
	m, err := telemetry.NewMetrics()
	is.NoErr(err)
	is.NoErr(sm.register(m.Meter()))
	sm.store.RecordProof(clock.Now(), 0)
	for name := range scrape(t, m) {
		if !strings.Contains(string(page), "| `"+name+"` |") {
			t.Errorf("%s is not in the table", name)
		}
	}
}
