package eventstream

import (
	"testing"

	"github.com/matryer/is"
)

// TestEndsWithinEvent guards against a cut at any byte of a stream that goes unseen, and against a whole stream that counts as cut.
func TestEndsWithinEvent(t *testing.T) {
	for _, newline := range []string{"\n", "\r\n"} {
		is := is.New(t)
		event := "id: 1" + newline + "data: x" + newline + newline
		is.True(!EndsWithinEvent(nil))
		is.True(!EndsWithinEvent([]byte(newline)))
		is.True(!EndsWithinEvent([]byte(event)))
		for n := 1; n < len(event); n++ {
			is.True(EndsWithinEvent([]byte(event[:n])))
			is.True(EndsWithinEvent([]byte(event + event[:n])))
		}
	}
}
