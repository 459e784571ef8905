package caller

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// TestSoftwareOfStream guards against a client that drops the software version which an engine names, so that a stream goes on at an
// engine of another one.
func TestSoftwareOfStream(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		e1, e2 := f.engines["e1"], f.engines["e2"]
		e1.software, e1.faults = "v1", []string{"reset:2"}
		e2.software = "v2"
		is.Equal(f.post(t.Context(), chatPath, streamBody).body, completeStream())
		synctest.Wait() // for the cancellation, which goes on in the background
		is.Equal(len(e2.requests), 1)
		is.Equal(len(e2.cancels), 1)
		is.Equal(len(e1.requests), 2)
		is.Equal(e1.requests[1].Header.Get("Last-Event-ID"), "1")
	})
}

// TestResumptionRefused guards against an answer from its start for a caller that asks for the rest of one, which it would append to what
// it has.
func TestResumptionRefused(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		for _, body := range []string{streamBody, nonStreamBody} {
			got := f.post(t.Context(), chatPath, body, "Last-Event-ID", "1")
			is.Equal(got.status, http.StatusBadRequest)
			is.Equal(got.headers.Get("Not-Run"), "true")
			is.True(strings.Contains(got.body, `"code":"resumption_unsupported"`))
		}
		is.Equal(len(f.engines["e1"].requests), 0)
	})
}
