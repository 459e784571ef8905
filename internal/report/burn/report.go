package burn

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Windows returns the lengths of the report's windows, shortest first; a short window beside a long one shows whether a fault
// is new or old.
func Windows() []time.Duration {
	return []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}
}

// Window holds the counts and the burn rate of one class over one window.
type Window struct {
	Length time.Duration
	Total  int64
	Bad    int64
	Burn   float64 // burn rate: share of bad requests divided by the allowed share; 1 consumes the budget exactly
}

// Row is the report of one class.
type Row struct {
	Class      deck.Class
	Target     float64
	Windows    []Window
	BudgetLeft float64 // remaining share of the longest window's error budget; negative if it is overspent
}

// Report is the burn report of one VM or, after Merge, of several.
type Report struct {
	Rows []Row
}

// Report returns the report at the current time.
func (r *Recorder) Report() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := unixMinute(r.clock.Now())
	var out Report
	for _, o := range r.objectives {
		row := Row{Class: o.Class, Target: o.Target}
		for _, length := range Windows() {
			total, bad := r.rings[o.Class].sum(m, int64(length/bucketLength))
			row.Windows = append(row.Windows, Window{Length: length, Total: total, Bad: bad})
		}
		out.Rows = append(out.Rows, row.withBurnRates())
	}
	return out
}

// withBurnRates computes the burn rates and the remaining budget from the counts.
func (r Row) withBurnRates() Row {
	r.BudgetLeft = 1
	for i, w := range r.Windows {
		r.Windows[i].Burn = 0
		if w.Total > 0 {
			r.Windows[i].Burn = float64(w.Bad) / float64(w.Total) / (1 - r.Target)
		}
		r.BudgetLeft = 1 - r.Windows[i].Burn
	}
	return r
}

// Merge returns the report over the requests of all given reports: it adds counts, since burn rates cannot be added.
func Merge(reports ...Report) Report {
	var out Report
	for _, rep := range reports {
		for _, row := range rep.Rows {
			out = out.withRow(row)
		}
	}
	for i := range out.Rows {
		out.Rows[i] = out.Rows[i].withBurnRates()
	}
	return out
}

// withRow returns the report with the counts of row added to those of its class.
func (p Report) withRow(row Row) Report {
	for i := range p.Rows {
		if p.Rows[i].Class != row.Class || len(p.Rows[i].Windows) != len(row.Windows) {
			continue
		}
		for j, w := range row.Windows {
			p.Rows[i].Windows[j].Total += w.Total
			p.Rows[i].Windows[j].Bad += w.Bad
		}
		return p
	}
	row.Windows = append([]Window(nil), row.Windows...)
	p.Rows = append(p.Rows, row)
	return p
}

// WriteText writes the report as a table.
func (p Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "CLASS\tTARGET\tWINDOW\tREQUESTS\tBAD\tBURN RATE\tBUDGET LEFT")
	for _, row := range p.Rows {
		for i, win := range row.Windows {
			budget := ""
			if i == len(row.Windows)-1 {
				budget = fmt.Sprintf("%.1f%%", 100*row.BudgetLeft)
			}
			fmt.Fprintf(t, "%s\t%.2f%%\t%s\t%d\t%d\t%.2f\t%s\n",
				row.Class, 100*row.Target, formatWindow(win.Length), win.Total, win.Bad, win.Burn, budget)
		}
	}
	return t.Flush()
}

func formatWindow(d time.Duration) string {
	if d >= time.Hour {
		return fmt.Sprintf("%dh", int(d/time.Hour))
	}
	return fmt.Sprintf("%dm", int(d/time.Minute))
}
