package weightstore

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// Guards against an error response or one with missing or negative numbers that is taken for an idle store.
func TestAvailable(t *testing.T) {
	for _, tt := range []struct {
		status   int
		body     string
		inFlight int
		limit    int
		fails    bool
	}{
		{200, `{"in-flight":3,"limit":9}`, 3, 9, false},
		{200, `{"in-flight":3}`, 0, 0, true},
		{200, `{"in-flight":-1,"limit":9}`, 0, 0, true},
		{500, `{"in-flight":3,"limit":9}`, 0, 0, true},
	} {
		is := is.New(t)
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(tt.status)
			io.WriteString(w, tt.body) //nolint:errcheck // the client reports a truncated body
		}))
		inFlight, limit, err := New(srv.URL, srv.Client()).Status(t.Context())
		srv.Close()
		is.Equal(err != nil, tt.fails)
		is.Equal(inFlight, tt.inFlight)
		is.Equal(limit, tt.limit)
	}
}
