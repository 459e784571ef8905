package peer

import (
	"maps"
	"slices"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

type viewRequestJSON struct {
	VM         string           `json:"vm"`
	DataCentre string           `json:"data-centre"`
	Config     uint64           `json:"config"`
	AnyConfig  bool             `json:"any-config,omitempty"`
	Term       uint64           `json:"term"`
	Number     uint64           `json:"number"`
	WaitMs     int64            `json:"wait-ms"`
	Demand     []callDemandJSON `json:"demand,omitempty"`
	Running    []adapterUseJSON `json:"running,omitempty"`
	Calls      map[string]int   `json:"calls,omitempty"`
	Crashes    []crashJSON      `json:"crashes,omitempty"`
	Verdicts   []verdictJSON    `json:"verdicts,omitempty"`
	Cleared    []uint64         `json:"cleared,omitempty"`
	Broke      []string         `json:"broke,omitempty"`
	Answered   []string         `json:"answered,omitempty"`

	Leaving []leavingServerJSON `json:"leaving,omitempty"`
}

type leavingServerJSON struct {
	Server      string `json:"server"`
	Incarnation string `json:"incarnation"`
}

type callDemandJSON struct {
	Service string `json:"service"`
	Model   string `json:"model"`
	Tokens  int    `json:"tokens"`
	Calls   int    `json:"calls,omitempty"`

	Streams int `json:"streams,omitempty"`
	Late    int `json:"late,omitempty"`
}

type adapterUseJSON struct {
	Server  string `json:"server"`
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
}

type viewAnswerJSON struct {
	Leading    bool           `json:"leading"`
	Leader     string         `json:"leader,omitempty"`
	Members    []string       `json:"members"`
	Config     *documentJSON  `json:"config,omitempty"`
	Term       uint64         `json:"term"`
	Number     uint64         `json:"number"`
	BaseTerm   uint64         `json:"base-term,omitempty"`
	BaseNumber uint64         `json:"base-number,omitempty"`
	Whole      bool           `json:"whole,omitempty"`
	Servers    []serverJSON   `json:"servers,omitempty"`
	Gone       []string       `json:"gone,omitempty"`
	VMs        int            `json:"vms"`
	Calls      map[string]int `json:"calls,omitempty"`
	Near       map[string]int `json:"near,omitempty"` // of these, calls of the receiver's data centre
	LeaderTerm uint64         `json:"leader-term,omitempty"`
	Verdicts   []verdictJSON  `json:"verdicts,omitempty"`
	Watched    []uint64       `json:"watched,omitempty"`
	Blamed     []uint64       `json:"blamed,omitempty"`
	Trials     []uint64       `json:"trials,omitempty"`

	Confirmed        uint64 `json:"confirmed,omitempty"` // version; 0 for none
	ConfirmedAfterMs int64  `json:"confirmed-after-ms,omitempty"`
}

type documentJSON struct {
	Version uint64 `json:"version"`
	Base    uint64 `json:"base,omitempty"`
	Data    []byte `json:"data"`
}

type serverJSON struct {
	ID         string          `json:"id"`
	Service    string          `json:"service"`
	Address    string          `json:"address"`
	DataCentre string          `json:"data-centre"`
	Software   string          `json:"software,omitempty"`
	Slots      int             `json:"slots"`
	Draining   bool            `json:"draining,omitempty"`
	Born       int64           `json:"born,omitempty"`
	Broken     bool            `json:"broken,omitempty"`
	Models     []heldModelJSON `json:"models,omitempty"`
}

type heldModelJSON struct {
	Name     string   `json:"name"`
	Version  int      `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
}

func viewRequestToWire(r deck.ViewRequest) viewRequestJSON {
	w := viewRequestJSON{
		VM: string(r.VM), DataCentre: string(r.DataCentre), Config: r.ConfigVersion, AnyConfig: r.AcceptStaleConfig,
		Term: r.View.Term, Number: r.View.Revision, WaitMs: r.MaxWait.Milliseconds(),
		Crashes: crashesToWire(r.Blame.Crashes), Verdicts: verdictsToWire(r.Blame.Verdicts), Cleared: r.Blame.Cleared,
		Calls: callsToWire(r.CallsInFlight),
		Broke: toStrings(r.BrokenConnections), Answered: toStrings(r.Answered),
	}
	for _, d := range r.Demand {
		w.Demand = append(w.Demand, callDemandJSON{
			string(d.Service), string(d.Model), d.Tokens, d.Calls, d.Streams, d.LateStreams,
		})
	}
	for _, l := range r.Leaving {
		w.Leaving = append(w.Leaving, leavingServerJSON{string(l.Server), l.Incarnation})
	}
	for _, a := range r.AdaptersInUse {
		w.Running = append(w.Running, adapterUseJSON{string(a.Server), string(a.Model), string(a.Adapter)})
	}
	return w
}

func viewRequestFromWire(w viewRequestJSON) deck.ViewRequest {
	r := deck.ViewRequest{
		VM: deck.VMName(w.VM), DataCentre: deck.DataCentre(w.DataCentre), ConfigVersion: w.Config, AcceptStaleConfig: w.AnyConfig,
		View: deck.ViewVersion{Term: w.Term, Revision: w.Number}, MaxWait: time.Duration(w.WaitMs) * time.Millisecond,
		Blame: deck.BlameReport{
			Crashes: crashesFromWire(w.Crashes), Verdicts: verdictsFromWire(w.Verdicts), Cleared: w.Cleared,
		},
		CallsInFlight:     callsFromWire(w.Calls, nil),
		BrokenConnections: fromStrings[deck.BackendName](w.Broke), Answered: fromStrings[deck.BackendName](w.Answered),
	}
	for _, d := range w.Demand {
		r.Demand = append(r.Demand, deck.CallDemand{
			Service: deck.ServiceName(d.Service), Model: deck.ModelName(d.Model), Tokens: d.Tokens,
			Calls: d.Calls, Streams: d.Streams, LateStreams: d.Late,
		})
	}
	for _, l := range w.Leaving {
		r.Leaving = append(r.Leaving, deck.LeavingServer{Server: deck.BackendName(l.Server), Incarnation: l.Incarnation})
	}
	for _, a := range w.Running {
		r.AdaptersInUse = append(r.AdaptersInUse, deck.AdapterUse{
			Server:     deck.BackendName(a.Server),
			AdapterRef: deck.AdapterRef{Model: deck.ModelName(a.Model), Adapter: deck.AdapterName(a.Adapter)},
		})
	}
	return r
}

func viewAnswerToWire(a deck.ViewAnswer) viewAnswerJSON {
	w := viewAnswerJSON{
		Leading: a.IsLeader, Leader: string(a.Leader), Term: a.View.Term, Number: a.View.Revision, Whole: a.FullList,
		BaseTerm: a.BaseView.Term, BaseNumber: a.BaseView.Revision,
		VMs:     a.EntryVMCount,
		Members: toStrings(a.Members), Gone: toStrings(a.RemovedServers), LeaderTerm: a.Blame.Term,
		Verdicts: verdictsToWire(a.Blame.Verdicts), Watched: a.Blame.Watched, Blamed: a.Blame.Blamed, Trials: a.Blame.Trials,
		Calls: callsToWire(a.CallsInFlight), Near: nearCallsToWire(a.CallsInFlight),
		Confirmed: a.Confirmed.Version, ConfirmedAfterMs: floorMs(a.Confirmed.After),
	}
	if a.Config != nil {
		w.Config = &documentJSON{a.Config.Version, a.Config.BaseVersion, a.Config.Data}
	}
	w.Servers = serversToWire(a.Servers)
	return w
}

func serversToWire(servers []deck.Server) []serverJSON {
	var out []serverJSON
	for _, s := range servers {
		out = append(out, serverToWire(s))
	}
	return out
}

func viewAnswerFromWire(w viewAnswerJSON) deck.ViewAnswer {
	a := deck.ViewAnswer{
		IsLeader: w.Leading, Leader: deck.VMName(w.Leader), View: deck.ViewVersion{Term: w.Term, Revision: w.Number},
		BaseView: deck.ViewVersion{Term: w.BaseTerm, Revision: w.BaseNumber},
		FullList: w.Whole, EntryVMCount: w.VMs, Members: fromStrings[deck.VMName](w.Members),
		RemovedServers: fromStrings[deck.BackendName](w.Gone),
		Blame: deck.BlameView{
			Term: w.LeaderTerm, Verdicts: verdictsFromWire(w.Verdicts), Watched: w.Watched, Blamed: w.Blamed, Trials: w.Trials,
		},
		CallsInFlight: callsFromWire(w.Calls, w.Near),
		Confirmed:     deck.ConfigConfirmation{Version: w.Confirmed, After: time.Duration(w.ConfirmedAfterMs) * time.Millisecond},
	}
	if w.Config != nil {
		a.Config = &deck.PackedDocument{Version: w.Config.Version, BaseVersion: w.Config.Base, Data: w.Config.Data}
	}
	for _, s := range w.Servers {
		a.Servers = append(a.Servers, serverFromWire(s))
	}
	return a
}

// floorMs returns the duration in milliseconds, rounded down: a time that is computed from it is not later than the exact one.
func floorMs(d time.Duration) int64 {
	ms := d.Milliseconds()
	if time.Duration(ms)*time.Millisecond > d {
		ms--
	}
	return ms
}

func serverToWire(s deck.Server) serverJSON {
	w := serverJSON{
		ID: string(s.ID), Service: string(s.Service), Address: s.Address, DataCentre: string(s.DataCentre),
		Software: string(s.Software), Slots: s.Slots, Draining: s.Draining, Born: s.StartUnixMs, Broken: s.Ejected,
	}
	for _, m := range s.Models {
		w.Models = append(w.Models, heldModelJSON{string(m.Name), m.Version, toStrings(m.Adapters)})
	}
	return w
}

func serverFromWire(w serverJSON) deck.Server {
	s := deck.Server{
		ID: deck.BackendName(w.ID), Service: deck.ServiceName(w.Service), Address: w.Address,
		DataCentre: deck.DataCentre(w.DataCentre), Software: deck.SoftwareVersion(w.Software), Slots: w.Slots,
		Draining: w.Draining, StartUnixMs: w.Born, Ejected: w.Broken,
	}
	for _, m := range w.Models {
		s.Models = append(s.Models, deck.HeldModel{
			Name: deck.ModelName(m.Name), Version: m.Version, Adapters: fromStrings[deck.AdapterName](m.Adapters),
		})
	}
	return s
}

func callsToWire(calls []deck.ServerCalls) map[string]int {
	if len(calls) == 0 {
		return nil
	}
	out := make(map[string]int, len(calls))
	for _, c := range calls {
		out[string(c.Server)] = c.Calls
	}
	return out
}

// nearCallsToWire returns the calls of the receiver's data centre, by server.
func nearCallsToWire(calls []deck.ServerCalls) map[string]int {
	out := make(map[string]int)
	for _, c := range calls {
		if c.Near > 0 {
			out[string(c.Server)] = c.Near
		}
	}
	return out
}

func callsFromWire(calls, near map[string]int) []deck.ServerCalls {
	var out []deck.ServerCalls
	for _, id := range slices.Sorted(maps.Keys(calls)) {
		out = append(out, deck.ServerCalls{Server: deck.BackendName(id), Calls: calls[id], Near: near[id]})
	}
	return out
}

func toStrings[T ~string](names []T) []string {
	var out []string
	for _, n := range names {
		out = append(out, string(n))
	}
	return out
}

func fromStrings[T ~string](names []string) []T {
	var out []T
	for _, n := range names {
		out = append(out, T(n))
	}
	return out
}
