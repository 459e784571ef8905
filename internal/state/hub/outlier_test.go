package hub

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

func vm(i int) deck.VMName { return deck.VMName(fmt.Sprint("vm", i)) }

// Guards against an engine that stays in use although it accepts connections and breaks them at once, but reports itself
// healthy. It has no calls in flight, so that every VM sends it the next call and loses it until the VM has seen the failure
// itself.
func TestServerThatBreaksConnectionsIsEjected(t *testing.T) {
	is := is.New(t)
	var d outlierDetector
	now := time.Unix(1000, 0)
	for i := range minReporters - 1 {
		is.True(!d.recordBrokenConnection(now, vm(i), "x"))
		is.True(!d.recordBrokenConnection(now, vm(i), "x")) // a VM counts once
	}
	is.True(!d.isEjected(now, "x"))
	is.True(d.recordBrokenConnection(now, vm(minReporters), "x"))
	is.True(d.isEjected(now, "x"))
	now = now.Add(minEjection + time.Millisecond)
	is.True(!d.isEjected(now, "x")) // the ejection has ended
	is.True(!d.recordBrokenConnection(now, vm(0), "x"))
	is.True(d.recordBrokenConnection(now, vm(1), "x")) // minReportersAgain VMs suffice now, and the ejection is longer
	is.True(d.isEjected(now.Add(2*minEjection-time.Millisecond), "x"))
}

// Guards against the ejection of a server that loses single answers but serves most calls.
func TestServerThatLosesSingleAnswersIsNotEjected(t *testing.T) {
	is := is.New(t)
	var d outlierDetector
	now := time.Unix(1000, 0)
	for i := range 40 {
		now = now.Add(failureWindow / 2)
		is.True(!d.recordBrokenConnection(now, vm(i), "x"))
	}
	now = now.Add(2 * failureWindow)
	for i := range 40 {
		is.True(!d.recordBrokenConnection(now, vm(i), "x"))
		if i%3 == 2 {
			d.recordAnswer("x")
		}
	}
}
