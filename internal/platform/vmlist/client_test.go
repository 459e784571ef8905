package vmlist

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Guards against an error response or a truncated list that is taken for an empty list.
func TestList(t *testing.T) {
	for _, tt := range []struct {
		status int
		body   string
		want   []deck.VMStatus
		fails  bool
	}{
		{200, `{"vms":[{"vm":"a"},{"vm":"b","leaving":true}]}`, []deck.VMStatus{{VM: "a"}, {VM: "b", Leaving: true}}, false},
		{503, `{"vms":[]}`, nil, true},
		{200, `{"vms":[{"vm":"a"`, nil, true},
	} {
		is := is.New(t)
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(tt.status)
			io.WriteString(w, tt.body) //nolint:errcheck // the client reports a truncated body
		}))
		got, err := New(srv.URL, srv.Client()).List(t.Context())
		srv.Close()
		is.Equal(err != nil, tt.fails)
		is.Equal(got, tt.want)
	}
}
