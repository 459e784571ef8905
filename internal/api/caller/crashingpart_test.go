package caller

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestCrashingMessageIsRefused guards against requests that differ in all but one message, which crashes each engine that begins to
// answer, and against a refusal of sound requests that share their other messages.
func TestCrashingMessageIsRefused(t *testing.T) {
	const (
		requests   = 8
		maxCrashes = 5 // the rule of the users' pages
	)
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		for _, e := range f.engines {
			e.crashOn = "crashing document"
		}
		body := func(document string, n int) string {
			return fmt.Sprintf(`{"model":"m","stream":true,"messages":[{"role":"system","content":"be brief"},`+
				`{"role":"user","content":%q},{"role":"user","content":"question %d"}]}`, document, n)
		}
		last := 0
		for n := range requests {
			sound := f.post(t.Context(), chatPath, body("sound document", n))
			is.NoErr(sound.err)
			is.Equal(sound.body, completeStream())
			last = f.post(t.Context(), chatPath, body("crashing document", n)).status
			time.Sleep(time.Second)
		}
		is.Equal(last, http.StatusUnprocessableEntity)
		is.True(f.engines["e1"].crashes+f.engines["e2"].crashes <= maxCrashes)
	})
}
