package caller

import (
	"testing"

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
		is.Equal(len(e2.requests), 1)
		is.Equal(len(e2.cancels), 1)
		is.Equal(len(e1.requests), 2)
		is.Equal(e1.requests[1].Header.Get("Last-Event-ID"), "1")
	})
}
