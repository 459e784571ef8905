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
	dedicatedControlMinVMs = 32 // from this number of VMs on, control VMs have no other role
	ticketCount            = 10
	scrapeConcurrency      = 16
)

// topologyFor returns the topology for a number of VMs: today's three data centres with three control VMs, or ten data
// centres with seven dedicated control VMs.
func topologyFor(n int) deployment.Topology {
	if n < dedicatedControlMinVMs {
		return deployment.Topology{VMs: n, DataCentres: 3, Regions: 3, ControlVMs: 3}
	}
	return deployment.Topology{VMs: n, DataCentres: 10, Regions: 3, ControlVMs: 7, DedicatedControlVMs: true}
}

// A resourceUsage is the control traffic, processor time and memory of one process: totals since its start as scraped, or
// rates per second in a report.
type resourceUsage struct {
	trafficBytes   float64
	cpuSeconds     float64
	memoryBytes    float64            // always the current value
	requestsByPath map[string]float64 // requests from other VMs
}

// measureVMs starts n processes without load and prints the cost of the control plane for each role and how long tickets
// take to be in force.
func measureVMs(ctx context.Context, n int) (err error) {
	topology := topologyFor(n)
	d, err := deployment.Generate("bin/geraniumdeck", topology)
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
	printRoleUsage(n, topology, leader, before, after, time.Since(begin).Seconds())
	return nil
}

// awaitAllReady waits until /readyz of each VM answers ok.
func awaitAllReady(ctx context.Context, d *deployment.Deployment, n int) error {
	for i := range n {
		err := deployment.Eventually(ctx, func() error {
			body, err := deployment.Get(ctx, d.OperatorsAddress(i), "/readyz")
			if err == nil && !strings.HasPrefix(body, "ok") {
				err = errors.Newf("%s is not ready: %s", deployment.VMName(i), body)
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
	var latencies []time.Duration
	for i := 1; i <= ticketCount; i++ {
		t := deck.Ticket{Number: uint64(i), BackendServers: []deck.BackendServer{{
			Name: deck.BackendName(fmt.Sprintf("service-%d", i)), Kind: deck.ServiceBackend, DataCentre: "dc-0", Address: "127.0.0.1:9",
		}}}
		begin := time.Now()
		answer, err := c.ApplyTicket(ctx, t)
		if err == nil && answer.Verdict != deck.TicketAccepted {
			err = errors.Newf("%s: %s", answer.Verdict, answer.Reason)
		}
		if err != nil {
			return err
		}
		err = deployment.Eventually(ctx, func() error {
			status, err := c.TicketStatus(ctx, uint64(i))
			if err == nil && (!status.InForce() || len(status.Confirmed) != n) {
				err = errors.Newf("ticket %d is in force on %d of %d VMs", i, len(status.Confirmed), n)
			}
			return err
		})
		if err != nil {
			return err
		}
		latencies = append(latencies, time.Since(begin))
	}
	slices.Sort(latencies)
	fmt.Printf("slope ticket-in-force vms=%d p50=%d max=%d unit=ms\n",
		n, latencies[len(latencies)/2].Milliseconds(), latencies[len(latencies)-1].Milliseconds())
	return nil
}

// logLeader returns the VM that leads the replicated log, as the first VM reports it.
func logLeader(ctx context.Context, d *deployment.Deployment) (string, error) {
	body, err := deployment.Get(ctx, d.OperatorsAddress(0), "/operator/state")
	if err != nil {
		return "", err
	}
	var s deployment.State
	err = json.Unmarshal([]byte(body), &s)
	return s.Log.Leader.VM, err
}

// scrapeAll reads the metrics of all VMs.
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

// parseMetrics sums up the metrics of one process; lines that are not samples are skipped.
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
			u.trafficBytes += v
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

// printRoleUsage prints for each role the median and the maximum between the two scrapes, and the requests by path of the VM
// with the most traffic.
func printRoleUsage(n int, topology deployment.Topology, leader string, before, after []resourceUsage, seconds float64) {
	rates := make(map[string][]resourceUsage)
	for i := range n {
		role := "entry"
		if i < topology.ControlVMs {
			role = "control"
		}
		if deployment.VMName(i) == leader {
			role = "control-leader"
		}
		rates[role] = append(rates[role], resourceUsage{
			trafficBytes:   (after[i].trafficBytes - before[i].trafficBytes) / seconds,
			cpuSeconds:     (after[i].cpuSeconds - before[i].cpuSeconds) / seconds,
			memoryBytes:    after[i].memoryBytes,
			requestsByPath: perSecond(before[i].requestsByPath, after[i].requestsByPath, seconds),
		})
	}
	for _, role := range []string{"entry", "control", "control-leader"} {
		usages := rates[role]
		if len(usages) == 0 {
			continue
		}
		line := fmt.Sprintf("slope control vms=%d role=%s count=%d", n, role, len(usages))
		line += formatMedianAndMax("bytes-per-second", usages, func(u resourceUsage) float64 { return u.trafficBytes })
		line += formatMedianAndMax("core-percent", usages, func(u resourceUsage) float64 { return 100 * u.cpuSeconds })
		line += formatMedianAndMax("memory-mb", usages, func(u resourceUsage) float64 { return u.memoryBytes / 1e6 })
		fmt.Println(line)
		busiest := slices.MaxFunc(usages, func(a, b resourceUsage) int { return cmp.Compare(a.trafficBytes, b.trafficBytes) })
		for _, path := range slices.Sorted(maps.Keys(busiest.requestsByPath)) {
			fmt.Printf("slope requests vms=%d role=%s busiest path=%s per-second=%.3g\n", n, role, path, busiest.requestsByPath[path])
		}
	}
}

// perSecond returns the rate of each counter between the two scrapes.
func perSecond(before, after map[string]float64, seconds float64) map[string]float64 {
	out := make(map[string]float64)
	for path, n := range after {
		out[path] = (n - before[path]) / seconds
	}
	return out
}

// formatMedianAndMax formats the median and the maximum of a value over the VMs of a role.
func formatMedianAndMax(name string, usages []resourceUsage, value func(resourceUsage) float64) string {
	values := make([]float64, 0, len(usages))
	for _, u := range usages {
		values = append(values, value(u))
	}
	slices.Sort(values)
	return fmt.Sprintf(" %s-p50=%.4g %s-max=%.4g", name, values[len(values)/2], name, values[len(values)-1])
}
