package part

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/api/inbound"
	"github.com/geraniumdeck/geraniumdeck/internal/report/telemetry"
)

// Guards against metrics of clients that lack what docs/operating/crowds.md names.
func TestClientMetrics(t *testing.T) {
	is := is.New(t)
	m, err := telemetry.NewMetrics()
	is.NoErr(err)
	g := Guard{Memory: &inbound.Budget{}, Meter: m.Meter()}
	is.NoErr(RegisterMemory(m.Meter(), g.Memory))
	l, err := Listen("127.0.0.1:0", &http.Server{})
	is.NoErr(err)
	defer func() { _ = l.Socket.Close() }()
	_, err = g.Protect("callers-listener", l, CallersShare)
	is.NoErr(err)
	is.True(g.Memory.Open(inbound.Bodies, nil).Grow(1000))
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, want := range []string{
		`geraniumdeck_clients_held_bytes{kind="bodies"`, `geraniumdeck_clients_refused_total{kind="heads"`,
		`geraniumdeck_clients_ended_total{kind="answers"`, `geraniumdeck_connections_open{listener="callers-listener"`,
		`state="reading-body"`, `geraniumdeck_connections_closed_total{listener="callers-listener"`, `reason="evicted"`,
	} {
		if !strings.Contains(w.Body.String(), want) {
			t.Errorf("no %s", want)
		}
	}
	if t.Failed() {
		t.Log(w.Body.String())
	}
}
