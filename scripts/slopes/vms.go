package main

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/api/operator"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/test/deployment"
)

const (
	dedicatedControlMinVMs = 32 // from this number on control VMs have no other role
	ticketCount            = 10
	scrapeConcurrency      = 16
)

// topologyFor returns the layout for a number of VMs: today's three data centres, or ten with seven control VMs.
func topologyFor(n int) deployment.Topology {
	if n < dedicatedControlMinVMs {
		return deployment.Topology{VMs: n, DataCentres: 3, Regions: 3, ControlVMs: 3}
	}
	return deployment.Topology{VMs: n, DataCentres: 10, Regions: 3, ControlVMs: 7, DedicatedControlVMs: true}
}

// A resourceUsage is what one process has used so far.
type resourceUsage struct {
	bytes          float64
	cpuSeconds     float64            // seconds
	memoryBytes    float64            // bytes
	requestsByPath map[string]float64 // requests of other VMs
}

// measureVMs starts n processes without load and prints what control costs for each role, and how long tickets take.
func measureVMs(ctx context.Context, n int) (err error) {
	size := topologyFor(n)
	d, err := deployment.Generate("bin/geraniumdeck", size)
	if err != nil {
		return err
	}
	defer func() { err = errors.CombineErrors(err, d.Close()) }()
	for i := range n {
		if err := d.StartVM(deployment.VMName(i)); err != nil {
			return err
		}
	}
	if err := awaitAllReady(ctx, d, n); err != nil {
		return err
	}
	if err := measureTickets(ctx, d, n); err != nil {
		return err
	}
	deck.Sleep(ctx, settleTime)
	before, err := scrapeAll(ctx, d, n)
	if err != nil {
		return err
	}
	begin := time.Now()
	deck.Sleep(ctx, sampleWindow)
	after, err := scrapeAll(ctx, d, n)
	if err != nil {
		return err
	}
	leader, err := logLeader(ctx, d)
	if err != nil {
		return err
	}
	printRoleUsage(n, size, leader, before, after, time.Since(begin).Seconds())
	return nil
}

func awaitAllReady(ctx context.Context, d *deployment.Deployment, n int) error {
	for i := range n {
		err := deployment.Eventually(ctx, func() error {
			body, err := deployment.Get(ctx, d.OperatorsAddress(i), "/readyz")
			if err == nil && !strings.HasPrefix(body, "ok") {
				err = errors.Newf("%s: %s", deployment.VMName(i), body)
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// measureTickets applies tickets one after the other and prints the time until each is in force on every VM.
func measureTickets(ctx context.Context, d *deployment.Deployment, n int) error {
	c := operator.Client{Address: d.OperatorsAddress(n - 1)}
	var took []time.Duration
	for i := 1; i <= ticketCount; i++ {
		t := deck.Ticket{Number: uint64(i), BackendServers: []deck.BackendServer{{
			Name: deck.BackendName(fmt.Sprintf("service-%d", i)), Kind: deck.ServiceBackend, DataCentre: "dc-0", Address: "127.0.0.1:9",
		}}}
		begin := time.Now()
		a, err := c.ApplyTicket(ctx, t)
		if err == nil && a.Verdict != deck.TicketAccepted {
			err = errors.Newf("%s: %s", a.Verdict, a.Reason)
		}
		if err != nil {
			return err
		}
		err = deployment.Eventually(ctx, func() error {
			s, err := c.TicketStatus(ctx, uint64(i))
			if err == nil && (!s.InForce() || len(s.Confirmed) != n) {
				err = errors.Newf("ticket %d in force on %d of %d VMs", i, len(s.Confirmed), n)
			}
			return err
		})
		if err != nil {
			return err
		}
		took = append(took, time.Since(begin))
	}
	slices.Sort(took)
	fmt.Printf("slope ticket-in-force vms=%d p50=%d max=%d unit=ms\n", n, took[len(took)/2].Milliseconds(), took[len(took)-1].Milliseconds())
	return nil
}

func logLeader(ctx context.Context, d *deployment.Deployment) (string, error) {
	body, err := deployment.Get(ctx, d.OperatorsAddress(0), "/operator/state")
	if err != nil {
		return "", err
	}
	var s deployment.State
	err = json.Unmarshal([]byte(body), &s)
	return s.Log.Leader.VM, err
}

func scrapeAll(ctx context.Context, d *deployment.Deployment, n int) ([]resourceUsage, error) {
	out := make([]resourceUsage, n)
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(scrapeConcurrency)
	for i := range n {
		g.Go(func() error {
			body, err := deployment.Get(ctx, d.OperatorsAddress(i), "/metrics")
			out[i] = parseMetrics(body)
			return err
		})
	}
	return out, g.Wait()
}

func parseMetrics(metrics string) resourceUsage {
	u := resourceUsage{requestsByPath: make(map[string]float64)}
	sc := bufio.NewScanner(strings.NewReader(metrics))
	for sc.Scan() {
		name, value, ok := strings.Cut(sc.Text(), " ")
		if !ok || strings.HasPrefix(name, "#") {
			continue
		}
		v, err := strconv.ParseFloat(value[strings.LastIndex(value, " ")+1:], 64)
		if err != nil {
			continue
		}
		switch {
		case strings.HasPrefix(name, "geraniumdeck_control_traffic_bytes_total"):
			u.bytes += v
		case strings.HasPrefix(name, "geraniumdeck_control_requests_total"):
			_, path, _ := strings.Cut(name, `path="`)
			u.requestsByPath[strings.TrimSuffix(path, `"}`)] += v
		case name == "process_cpu_seconds_total":
			u.cpuSeconds = v
		case name == "process_resident_memory_bytes":
			u.memoryBytes = v
		}
	}
	return u
}

// printRoleUsage prints median and maximum for each role over the window.
func printRoleUsage(n int, size deployment.Topology, leader string, before, after []resourceUsage, seconds float64) {
	rates := make(map[string][]resourceUsage)
	for i := range n {
		role := "entry"
		if i < size.ControlVMs {
			role = "control"
		}
		if deployment.VMName(i) == leader {
			role = "control-leader"
		}
		rates[role] = append(rates[role], resourceUsage{
			bytes: (after[i].bytes - before[i].bytes) / seconds, cpuSeconds: (after[i].cpuSeconds - before[i].cpuSeconds) / seconds, memoryBytes: after[i].memoryBytes,
			requestsByPath: perSecond(before[i].requestsByPath, after[i].requestsByPath, seconds),
		})
	}
	for _, role := range []string{"entry", "control", "control-leader"} {
		r := rates[role]
		if len(r) == 0 {
			continue
		}
		line := fmt.Sprintf("slope control vms=%d role=%s count=%d", n, role, len(r))
		line += formatMedianAndMax("bytes-per-second", r, func(u resourceUsage) float64 { return u.bytes })
		line += formatMedianAndMax("core-percent", r, func(u resourceUsage) float64 { return 100 * u.cpuSeconds })
		line += formatMedianAndMax("memory-mb", r, func(u resourceUsage) float64 { return u.memoryBytes / 1e6 })
		fmt.Println(line)
		busiest := slices.MaxFunc(r, func(a, b resourceUsage) int { return cmp.Compare(a.bytes, b.bytes) })
		for _, path := range slices.Sorted(maps.Keys(busiest.requestsByPath)) {
			fmt.Printf("slope requests vms=%d role=%s busiest path=%s per-second=%.3g\n", n, role, path, busiest.requestsByPath[path])
		}
	}
}

func perSecond(before, after map[string]float64, seconds float64) map[string]float64 {
	out := make(map[string]float64)
	for path, n := range after {
		out[path] = (n - before[path]) / seconds
	}
	return out
}

func formatMedianAndMax(name string, rows []resourceUsage, value func(resourceUsage) float64) string {
	vs := make([]float64, 0, len(rows))
	for _, r := range rows {
		vs = append(vs, value(r))
	}
	slices.Sort(vs)
	return fmt.Sprintf(" %s-p50=%.4g %s-max=%.4g", name, vs[len(vs)/2], name, vs[len(vs)-1])
}
