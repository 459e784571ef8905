package telemetry

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const meterName = "github.com/geraniumdeck/geraniumdeck"

// maxTextBytes bounds a text in a line of the log. The text of an error may hold what a backend server has sent.
const maxTextBytes = 1 << 10

// NewLogger returns a logger that writes JSON lines, each with the VM's name, from level INFO up. Long texts are cut.
func NewLogger(w io.Writer, vm deck.VMName) logr.Logger {
	h := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: slog.LevelInfo, ReplaceAttr: cutText})
	return logr.FromSlogHandler(h).WithValues("vm", string(vm))
}

func cutText(_ []string, a slog.Attr) slog.Attr {
	text := ""
	switch a.Value.Kind() {
	case slog.KindString:
		text = a.Value.String()
	case slog.KindAny:
		if err, ok := a.Value.Any().(error); ok && err != nil {
			text = err.Error()
		}
	}
	if len(text) > maxTextBytes {
		a.Value = slog.StringValue(strings.ToValidUTF8(text[:maxTextBytes], "") + "...")
	}
	return a
}

// Metrics holds the meter provider of a process and its scrape endpoint.
type Metrics struct {
	provider *sdk.MeterProvider
	registry *prom.Registry
}

// NewMetrics returns the metrics of a process, with the standard process and Go collectors registered.
func NewMetrics() (*Metrics, error) {
	reg := prom.NewRegistry()
	reg.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), collectors.NewGoCollector())
	exp, err := prometheus.New(prometheus.WithRegisterer(reg))
	if err != nil {
		return nil, errors.Wrap(err, "metrics")
	}
	return &Metrics{provider: sdk.NewMeterProvider(sdk.WithReader(exp)), registry: reg}, nil
}

// Drain shuts the meter provider down.
func (m *Metrics) Drain(ctx context.Context) error {
	return m.provider.Shutdown(ctx)
}

// Handler returns the scrape endpoint in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Meter returns the meter with which components create their instruments.
func (m *Metrics) Meter() metric.Meter {
	return m.provider.Meter(meterName)
}
