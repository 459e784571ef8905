package ingress_test

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against requests that differ in all but one part of their prompts, which crashes each engine that begins to write, and that
// therefore go to engine after engine; and against a refusal of sound requests that share their other parts.
func TestPromptPartThatCrashesServersIsRefused(t *testing.T) {
	const (
		crashGap     = 300 * time.Millisecond // crashes at the same moment would count as one
		poisonCalls  = 8
		maxCrashes   = 5 // the rule of the users' pages
		crashingPart = "crashing"
	)
	is := is.New(t)
	crashes := 0
	var engines []*backend
	for i := range poisonCalls {
		engines = append(engines, newBackend(t, "e"+itoa(i), func(c net.Conn, r *http.Request) bool {
			if strings.Contains(r.Header.Get("Prompt-Parts"), crashingPart) {
				crashes++ // one call at a time
				reply(c, r, "200 OK", streamHead, "")
				return false
			}
			return reply(c, r, "200 OK", streamHead, chunk(events(1, 2))+"0\r\n\r\n")
		}))
	}
	h := newHarness(t, stream(false))
	for i, e := range engines {
		h.setServers(e)
		n := itoa(i)
		sound := h.callContext(t.Context(), t, http.MethodPost, "/p/x", "sound "+n, "shared", "subject", "own-"+n)
		is.NoErr(sound.err)
		is.Equal(sound.status, http.StatusOK)
		bad := h.callContext(t.Context(), t, http.MethodPost, "/p/x", "bad "+n, "shared", crashingPart, "own-bad-"+n)
		is.True(bad.err != nil || bad.status == http.StatusUnprocessableEntity)
		<-time.After(crashGap)
	}
	is.True(crashes <= maxCrashes)
}
