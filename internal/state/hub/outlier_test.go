package hub

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

func vm(i int) deck.VMName { return deck.VMName(fmt.Sprint("vm", i)) }

// Load pattern: an engine takes connections and breaks them at once, and calls itself healthy. It looks empty, so that every VM
// sends it the next call, and each VM finds out for itself.
func TestServerThatBreaksConnectionsIsEjected(t *testing.T) {
	is := is.New(t)
	var b outlierDetector
	now := time.Unix(1000, 0)
	for i := range minReporters - 1 {
		is.True(!b.recordBrokenConnection(now, vm(i), "x"))
		is.True(!b.recordBrokenConnection(now, vm(i), "x")) // one VM counts once
	}
	is.True(!b.isEjected(now, "x"))
	is.True(b.recordBrokenConnection(now, vm(minReporters), "x"))
	is.True(b.isEjected(now, "x"))
	now = now.Add(minEjection + time.Millisecond)
	is.True(!b.isEjected(now, "x")) // it is tried again
	is.True(!b.recordBrokenConnection(now, vm(0), "x"))
	is.True(b.recordBrokenConnection(now, vm(1), "x")) // two VMs are enough now, and the pause is longer
	is.True(b.isEjected(now.Add(2*minEjection-time.Millisecond), "x"))
}

// A server that loses single answers serves most calls.
func TestServerThatLosesSingleAnswersIsNotEjected(t *testing.T) {
	is := is.New(t)
	var b outlierDetector
	now := time.Unix(1000, 0)
	for i := range 40 {
		now = now.Add(failureWindow / 2)
		is.True(!b.recordBrokenConnection(now, vm(i), "x"))
	}
	now = now.Add(2 * failureWindow)
	for i := range 40 {
		is.True(!b.recordBrokenConnection(now, vm(i), "x"))
		if i%3 == 2 {
			b.recordAnswer("x")
		}
	}
}
