package vmlist

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Guards against an error response or a truncated list that is taken for an empty list, and against an odd entry of another writer that hides
// the others.
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
		{200, `{"vms":[{"vm":7},{"vm":"a"}]}`, []deck.VMStatus{{VM: "a"}}, false},
		{200, "{\"vms\":[\"\x01\",{},{\"vm\":\"a\"}]}", []deck.VMStatus{{VM: "a"}}, false},
		{200, `{"vms":[` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + `,{"vm":"a"}]}`, []deck.VMStatus{{VM: "a"}}, false},
		{200, `{"vms":[{"vm":"a"},"` + strings.Repeat("x", 2<<20) + `"]}`, []deck.VMStatus{{VM: "a"}}, false},
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
