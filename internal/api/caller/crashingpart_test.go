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
	const first = `{"role":"system","content":"be brief"},`
	for _, tc := range []struct{ name, sound, crashing string }{
		{"among others", first + `{"role":"user","content":"sound document"},{"role":"user","content":"question %d"}`,
			first + `{"role":"user","content":"crashing document"},{"role":"user","content":"question %d"}`},
		{"last", first + `{"role":"user","content":"question %d"}`,
			first + `{"role":"user","content":"crashing document","name":"caller-%d"}`},
		{"alone", `{"role":"user","content":"question %d"}`, `{"role":"user","content":"crashing document","name":"caller-%d"}`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			run(t, func(t *testing.T, f *fixture) {
				is := is.New(t)
				for _, e := range f.engines {
					e.crashOn = "crashing document"
				}
				body := func(messages string, n int) string {
					return `{"model":"m","stream":true,"messages":[` + fmt.Sprintf(messages, n) + `]}`
				}
				last := 0
				for n := range requests {
					sound := f.post(t.Context(), chatPath, body(tc.sound, n))
					is.NoErr(sound.err)
					is.Equal(sound.body, completeStream())
					last = f.post(t.Context(), chatPath, body(tc.crashing, n)).status
					time.Sleep(time.Second)
				}
				is.Equal(last, http.StatusUnprocessableEntity)
				is.True(f.engines["e1"].crashes+f.engines["e2"].crashes <= maxCrashes)
			})
		})
	}
}
