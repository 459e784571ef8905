package node

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/api/ingress"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/core/revocation"
	"github.com/geraniumdeck/geraniumdeck/internal/report/telemetry"
)

// Guards against a number of time series that grows with the number of customers.
func TestCountersOfCustomersAreBounded(t *testing.T) {
	is := is.New(t)
	m, err := telemetry.NewMetrics()
	is.NoErr(err)
	keys := &revocation.Guard{Clock: deck.SystemClock{}, Bound: time.Hour}
	keys.Confirm(time.Now())
	c, err := newCustomerMetrics(m.Meter(), keys)
	is.NoErr(err)
	for i := range 2 * maxCountedCustomers {
		c.record(ingress.CallRecord{Customer: deck.CustomerName(fmt.Sprintf("c-%d", i)), Status: http.StatusOK})
	}
	c.record(ingress.CallRecord{Status: http.StatusOK}) // a call without a customer
	c.recordRefusal(ingress.KeyUnknown)
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	text := w.Body.String()
	is.Equal(strings.Count(text, "geraniumdeck_customer_calls_total{"), maxCountedCustomers+1)
	is.True(strings.Contains(text, `reason="API key is unknown"`))
	is.True(strings.Contains(text, "geraniumdeck_configuration_confirmed_age_seconds"))
}

// Guards against keys that are trusted because of a confirmation of a configuration which this VM has not in force.
func TestOnlyTheConfigurationInForceIsConfirmed(t *testing.T) {
	is := is.New(t)
	e := &entryVM{
		node: &Node{log: logr.Discard()}, handler: &ingress.Handler{}, keys: &revocation.Guard{Clock: deck.SystemClock{}, Bound: time.Hour},
	}
	install := func(version int, tenants string) {
		e.applyConfig(deck.RoutingDocument{
			Version: uint64(version), Body: fmt.Appendf(nil, `{"version":%d,"tenants":[%s]}`, version, tenants),
		})
	}
	install(1, `{"name":"t1","apiKeys":["k1"]}`)
	e.handler.TrustsKeys = e.keys.Accepts
	e.confirmConfig(2, time.Now())
	is.True(e.handler.RefusesKeys())
	install(2, `{"name":""}`) // can't be decoded
	e.confirmConfig(2, time.Now())
	is.True(e.handler.RefusesKeys())
	install(3, `{"name":"t1"}`)
	e.confirmConfig(3, time.Now())
	is.True(!e.handler.RefusesKeys())
}
