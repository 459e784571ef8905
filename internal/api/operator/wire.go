package operator

import (
	"bytes"
	"encoding/json"
	"io"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/report/burn"
	wire "github.com/geraniumdeck/geraniumdeck/internal/wire/ticket"
)

type errorWire struct {
	Error string `json:"error"`
}

type ticketAnswerWire struct {
	Number  uint64 `json:"number"`
	Digest  string `json:"digest,omitempty"`
	Verdict string `json:"verdict"`
	Version uint64 `json:"version,omitempty"`
	Reason  string `json:"reason,omitempty"`
}

type ticketStatusWire struct {
	Answer      ticketAnswerWire `json:"answer"`
	InForce     bool             `json:"in-force"`
	Confirmed   []string         `json:"confirmed"`
	Unconfirmed []string         `json:"unconfirmed"`
	CutOff      []string         `json:"cut-off"`
}

type replicaWire struct {
	VM string `json:"vm"`
	// Incarnation is a hexadecimal string, since some JSON parsers can't represent 64-bit integers.
	Incarnation string `json:"incarnation,omitempty"`
}

type replicaChangeWire struct {
	Action  string      `json:"action"`
	Replica replicaWire `json:"replica"`
}

type logWire struct {
	Self     replicaWire   `json:"self"`
	Leader   replicaWire   `json:"leader"`
	Term     uint64        `json:"term"`
	Commit   uint64        `json:"commit"`
	Applied  uint64        `json:"applied"`
	Voters   []replicaWire `json:"voters"`
	Learners []replicaWire `json:"learners"`
	Failed   string        `json:"failed,omitempty"`
}

type vmWire struct {
	Name       string   `json:"name"`
	DataCentre string   `json:"data-centre"`
	Roles      []string `json:"roles"`
	Version    uint64   `json:"version"`
	CutOff     bool     `json:"cut-off"`
}

type placementWire struct {
	Model   string `json:"model"`
	Backend string `json:"backend-server"`
	Version string `json:"version"`
	Ready   bool   `json:"ready"`
}

type leaseWire struct {
	DataCentre   string `json:"data-centre"`
	Holder       string `json:"holder"`
	FencingToken uint64 `json:"fencing-token"`
}

type overviewWire struct {
	Deployment string          `json:"deployment"`
	Version    uint64          `json:"version"`
	Proven     bool            `json:"proven"`
	Log        logWire         `json:"log"`
	VMs        []vmWire        `json:"vms"`
	Objects    wire.Document   `json:"objects"`
	Places     []placementWire `json:"places"`
	AtRisk     []string        `json:"at-risk"`
	Leases     []leaseWire     `json:"placement-leases"`
}

type burnWindowWire struct {
	Length   string  `json:"length"`
	Requests int64   `json:"requests"`
	Bad      int64   `json:"bad"`
	Burn     float64 `json:"burn-rate"`
}

type burnClassWire struct {
	Class      string           `json:"class"`
	Target     float64          `json:"target"`
	BudgetLeft float64          `json:"budget-left"`
	Windows    []burnWindowWire `json:"windows"`
}

type burnWire struct {
	Classes []burnClassWire `json:"classes"`
}

func newAnswer(a deck.TicketAnswer) ticketAnswerWire {
	return ticketAnswerWire{
		Number: a.Number, Digest: string(a.Digest), Verdict: a.Verdict.String(), Version: a.Version, Reason: a.Reason,
	}
}

func (w ticketAnswerWire) answer() (deck.TicketAnswer, error) {
	a := deck.TicketAnswer{Number: w.Number, Digest: deck.TicketDigest(w.Digest), Version: w.Version, Reason: w.Reason}
	for v := deck.TicketUnknown; v <= deck.TicketSuperseded; v++ {
		if v.String() == w.Verdict {
			a.Verdict = v
			return a, nil
		}
	}
	return a, errors.Newf("unknown verdict %q", w.Verdict)
}

func newStatus(s deck.TicketStatus) ticketStatusWire {
	return ticketStatusWire{
		Answer: newAnswer(s.Answer), InForce: s.InForce(), Confirmed: toStrings(s.Confirmed),
		Unconfirmed: toStrings(s.Unconfirmed), CutOff: toStrings(s.CutOff),
	}
}

func (w ticketStatusWire) status() (deck.TicketStatus, error) {
	a, err := w.Answer.answer()
	return deck.TicketStatus{
		Answer: a, Confirmed: toVMNames(w.Confirmed), Unconfirmed: toVMNames(w.Unconfirmed), CutOff: toVMNames(w.CutOff),
	}, err
}

func newReplica(r deck.ReplicaID) replicaWire {
	w := replicaWire{VM: string(r.VM)}
	if r.Incarnation != 0 {
		w.Incarnation = strconv.FormatUint(r.Incarnation, 16)
	}
	return w
}

func (w replicaWire) replica() (deck.ReplicaID, error) {
	r := deck.ReplicaID{VM: deck.VMName(w.VM)}
	if w.Incarnation == "" {
		return r, nil
	}
	n, err := strconv.ParseUint(w.Incarnation, 16, 64)
	if err != nil {
		return r, errors.Newf("incarnation %q: expected a hexadecimal number", w.Incarnation)
	}
	r.Incarnation = n
	return r, nil
}

var actionNames = map[deck.ReplicaAction]string{
	deck.AddReplica: "add", deck.PromoteReplica: "promote", deck.RemoveReplica: "remove",
}

// ParseReplicaAction returns the replica action with the given name: add, promote or remove.
func ParseReplicaAction(name string) (deck.ReplicaAction, error) {
	for a, n := range actionNames {
		if n == name {
			return a, nil
		}
	}
	return 0, errors.Newf("action %q: expected add, promote or remove", name)
}

// decodeChange decodes a membership change from JSON; an unknown field, a missing value or trailing data is an error.
func decodeChange(data []byte) (deck.ReplicaChange, error) {
	var w replicaChangeWire
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&w); err != nil {
		return deck.ReplicaChange{}, errors.Wrap(err, "replica change")
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return deck.ReplicaChange{}, errors.New("replica change: expected one change and nothing behind it")
	}
	action, err := ParseReplicaAction(w.Action)
	if err != nil {
		return deck.ReplicaChange{}, err
	}
	if w.Replica.VM == "" || w.Replica.Incarnation == "" {
		return deck.ReplicaChange{}, errors.New("replica: expected vm and incarnation")
	}
	id, err := w.Replica.replica()
	return deck.ReplicaChange{Action: action, Replica: id}, err
}

func newLog(s deck.LogStatus) logWire {
	w := logWire{
		Self: newReplica(s.Self), Leader: newReplica(s.Leader), Term: s.Term, Commit: s.CommitIndex, Applied: s.AppliedIndex,
		Voters: []replicaWire{}, Learners: []replicaWire{}, Failed: s.FailureReason,
	}
	for _, r := range s.Voters {
		w.Voters = append(w.Voters, newReplica(r))
	}
	for _, r := range s.Learners {
		w.Learners = append(w.Learners, newReplica(r))
	}
	return w
}

func newOverview(o deck.Overview) overviewWire {
	w := overviewWire{
		Deployment: o.Deployment, Version: o.State.Version(), Proven: o.Proven, Log: newLog(o.Log), AtRisk: toStrings(o.AtRisk),
		VMs: []vmWire{}, Places: []placementWire{}, Leases: []leaseWire{},
	}
	w.Objects = wire.NewDocument(deck.Ticket{
		Models: o.State.Models(), Adapters: o.State.Adapters(), BackendServers: o.State.BackendServers(),
		Services: o.State.Services(),
	})
	for _, v := range o.VMs {
		w.VMs = append(w.VMs, vmWire{string(v.Name), string(v.DataCentre), v.Roles, v.StateVersion, v.CutOff})
	}
	for _, p := range o.ModelReplicas {
		w.Places = append(w.Places, placementWire{
			string(p.Model), string(p.Replica.Backend), string(p.Replica.Version), p.Replica.Ready,
		})
	}
	for _, l := range o.Leases {
		w.Leases = append(w.Leases, leaseWire{string(l.DataCentre), string(l.Holder), l.FencingToken})
	}
	return w
}

func newBurn(r burn.Report) burnWire {
	w := burnWire{Classes: []burnClassWire{}}
	for _, row := range r.Rows {
		b := burnClassWire{Class: row.Class.String(), Target: row.Target, BudgetLeft: row.BudgetLeft}
		for _, win := range row.Windows {
			b.Windows = append(b.Windows, burnWindowWire{win.Length.String(), win.Total, win.Bad, win.Burn})
		}
		w.Classes = append(w.Classes, b)
	}
	return w
}

func (w burnWire) report() (burn.Report, error) {
	var r burn.Report
	for _, b := range w.Classes {
		row := burn.Row{Target: b.Target, BudgetLeft: b.BudgetLeft}
		if b.Class == deck.Batch.String() {
			row.Class = deck.Batch
		}
		for _, win := range b.Windows {
			d, err := time.ParseDuration(win.Length)
			if err != nil {
				return r, errors.Wrap(err, "burn report: window length")
			}
			row.Windows = append(row.Windows, burn.Window{Length: d, Total: win.Requests, Bad: win.Bad, Burn: win.Burn})
		}
		r.Rows = append(r.Rows, row)
	}
	return r, nil
}

func toStrings[T ~string](in []T) []string {
	out := make([]string, 0, len(in))
	for _, v := range in {
		out = append(out, string(v))
	}
	return out
}

func toVMNames(in []string) []deck.VMName {
	out := make([]deck.VMName, 0, len(in))
	for _, v := range in {
		out = append(out, deck.VMName(v))
	}
	return out
}

// StatusDocument returns the JSON form of a ticket's status.
func StatusDocument(s deck.TicketStatus) any {
	return newStatus(s)
}

// BurnDocument returns the JSON form of a burn report.
func BurnDocument(r burn.Report) any {
	return newBurn(r)
}
