package balance

import "time"

// An overflow is the load that full servers turn away, to be borne by the others. The zero value has none.
type overflow struct {
	fullCalls float64 // calls at full servers
	calls     float64 // calls at all servers that could run the call
	replaced  float64 // calls that have ended since the reports, with others in their place
}

// add adds a server that could run the call, with the calls in flight and the share of those at the time of the report that remain.
func (o *overflow) add(calls, remaining float64, full bool) {
	o.calls += calls
	o.replaced += calls * (1 - remaining)
	if full {
		o.fullCalls += calls
	}
}

// inFlight returns the calls that are expected to have gone to others than full servers since the reports and to be in flight there, given
// the calls that arrive in a second and how long each occupies a slot.
func (o overflow) inFlight(perSecond float64, slotTime time.Duration) float64 {
	if o.fullCalls == 0 {
		return 0
	}
	return perSecond * slotTime.Seconds() * (o.replaced / o.calls) * (o.fullCalls / o.calls)
}

// absorb adds the calls of other data centres to the servers, as those would spread them.
func absorb(servers []spreadServer, calls float64) {
	if calls == 0 {
		return
	}
	elsewhere := make([]spreadServer, len(servers))
	copy(elsewhere, servers)
	for i := range elsewhere {
		elsewhere[i].rivals = 1
	}
	spread(elsewhere, calls)
	for i := range servers {
		servers[i].inFlight += elsewhere[i].share
	}
}
