package operator

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// WriteStateText formats the JSON form of an overview as text tables and writes them to w.
func WriteStateText(w io.Writer, data []byte) error {
	var o overviewWire
	if err := json.Unmarshal(data, &o); err != nil {
		return errors.Wrap(err, "state")
	}
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintf(t, "deployment\t%s\n", o.Deployment)
	fmt.Fprintf(t, "state version\t%d (%s)\n", o.Version, freshnessText(o.Proven))
	fmt.Fprintf(t, "log\tterm %d, commit %d, applied %d\n", o.Log.Term, o.Log.Commit, o.Log.Applied)
	fmt.Fprintf(t, "leader\t%s\n", orNone(o.Log.Leader.VM))
	fmt.Fprintf(t, "voters\t%s\n", replicaNames(o.Log.Voters))
	fmt.Fprintf(t, "learners\t%s\n", replicaNames(o.Log.Learners))
	if o.Log.Failed != "" {
		fmt.Fprintf(t, "replica failed\t%s\n", o.Log.Failed)
	}
	fmt.Fprintf(t, "models at risk\t%s\n", orNone(strings.Join(o.AtRisk, ", ")))
	fmt.Fprint(t, "\nVM\tDATA CENTRE\tROLES\tVERSION\tREACHABLE\n")
	for _, v := range o.VMs {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%t\n", v.Name, v.DataCentre, strings.Join(v.Roles, ","), v.Version, !v.CutOff)
	}
	fmt.Fprint(t, "\nDATA CENTRE\tPLACEMENT LEADER\tFENCING TOKEN\n")
	for _, l := range o.Leases {
		fmt.Fprintf(t, "%s\t%s\t%d\n", l.DataCentre, orNone(l.Holder), l.FencingToken)
	}
	fmt.Fprint(t, "\nBACKEND SERVER\tKIND\tDATA CENTRE\tADDRESS\tLEAVING\n")
	for _, b := range o.Objects.BackendServers {
		kind := b.Kind
		if kind == "" {
			kind = deck.EngineBackend.String()
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%t\n", b.Name, kind, b.DataCentre, b.Address, b.Leaving)
	}
	fmt.Fprint(t, "\nMODEL\tVERSION\tPLACES\n")
	for _, m := range o.Objects.Models {
		fmt.Fprintf(t, "%s\t%s\t%s\n", m.Name, m.ActiveVersion, orNone(placementsOf(o.Places, m.Name)))
	}
	return t.Flush()
}

func freshnessText(proven bool) string {
	if proven {
		return "proven fresh"
	}
	return "unproven"
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

func replicaNames(rs []replicaWire) string {
	var out []string
	for _, r := range rs {
		out = append(out, r.VM+"/"+r.Incarnation)
	}
	return orNone(strings.Join(out, ", "))
}

func placementsOf(ps []placementWire, model string) string {
	var out []string
	for _, p := range ps {
		if p.Model != model {
			continue
		}
		s := p.Backend + ":" + p.Version
		if !p.Ready {
			s += " (loading)"
		}
		out = append(out, s)
	}
	return strings.Join(out, ", ")
}
