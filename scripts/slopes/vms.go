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
	manyVMs      = 32 // from this number on control VMs have no other role
	tickets      = 10
	scrapeAtOnce = 16
)

// sizeFor returns the layout for a number of VMs: today's three data centres, or ten with seven control VMs.
func sizeFor(n int) deployment.Size {
	if n < manyVMs {
		return deployment.Size{VMs: n, DataCentres: 3, Regions: 3, Controls: 3}
	}
	return deployment.Size{VMs: n, DataCentres: 10, Regions: 3, Controls: 7, Dedicated: true}
}

// A usage is what one process has used so far.
type usage struct {
	bytes  float64
	cpu    float64            // seconds
	memory float64            // bytes
	paths  map[string]float64 // requests of other VMs
}

// measureVMs starts n processes without load and prints what control costs for each role, and how long tickets take.
func measureVMs(ctx context.Context, n int) (err error) {
	size := sizeFor(n)
	d, err := deployment.Generate("bin/geraniumdeck", size)
	if err != nil {
		return err
	}
	defer func() { err = errors.CombineErrors(err, d.Close()) }()
	for i := range n {
		if err := d.Serve(deployment.VMName(i)); err != nil {
			return err
		}
	}
	if err := awaitAll(ctx, d, n); err != nil {
		return err
	}
	if err := measureTickets(ctx, d, n); err != nil {
		return err
	}
	deck.Sleep(ctx, settle)
	before, err := scrapeAll(ctx, d, n)
	if err != nil {
		return err
	}
	begin := time.Now()
	deck.Sleep(ctx, window)
	after, err := scrapeAll(ctx, d, n)
	if err != nil {
		return err
	}
	leader, err := logLeader(ctx, d)
	if err != nil {
		return err
	}
	report(n, size, leader, before, after, time.Since(begin).Seconds())
	return nil
}

func awaitAll(ctx context.Context, d *deployment.Deployment, n int) error {
	for i := range n {
		err := deployment.Eventually(ctx, func() error {
			body, err := deployment.Get(ctx, d.Operators(i), "/readyz")
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
	c := operator.Client{Address: d.Operators(n - 1)}
	var took []time.Duration
	for i := 1; i <= tickets; i++ {
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
	body, err := deployment.Get(ctx, d.Operators(0), "/operator/state")
	if err != nil {
		return "", err
	}
	var s deployment.State
	err = json.Unmarshal([]byte(body), &s)
	return s.Log.Leader.VM, err
}

func scrapeAll(ctx context.Context, d *deployment.Deployment, n int) ([]usage, error) {
	out := make([]usage, n)
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(scrapeAtOnce)
	for i := range n {
		g.Go(func() error {
			body, err := deployment.Get(ctx, d.Operators(i), "/metrics")
			out[i] = parse(body)
			return err
		})
	}
	return out, g.Wait()
}

func parse(metrics string) usage {
	u := usage{paths: make(map[string]float64)}
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
			u.paths[strings.TrimSuffix(path, `"}`)] += v
		case name == "process_cpu_seconds_total":
			u.cpu = v
		case name == "process_resident_memory_bytes":
			u.memory = v
		}
	}
	return u
}

// report prints median and maximum for each role over the window.
func report(n int, size deployment.Size, leader string, before, after []usage, seconds float64) {
	rates := make(map[string][]usage)
	for i := range n {
		role := "entry"
		if i < size.Controls {
			role = "control"
		}
		if deployment.VMName(i) == leader {
			role = "control-leader"
		}
		rates[role] = append(rates[role], usage{
			bytes: (after[i].bytes - before[i].bytes) / seconds, cpu: (after[i].cpu - before[i].cpu) / seconds, memory: after[i].memory,
			paths: perSecond(before[i].paths, after[i].paths, seconds),
		})
	}
	for _, role := range []string{"entry", "control", "control-leader"} {
		r := rates[role]
		if len(r) == 0 {
			continue
		}
		line := fmt.Sprintf("slope control vms=%d role=%s count=%d", n, role, len(r))
		line += column("bytes-per-second", r, func(u usage) float64 { return u.bytes })
		line += column("core-percent", r, func(u usage) float64 { return 100 * u.cpu })
		line += column("memory-mb", r, func(u usage) float64 { return u.memory / 1e6 })
		fmt.Println(line)
		busiest := slices.MaxFunc(r, func(a, b usage) int { return cmp.Compare(a.bytes, b.bytes) })
		for _, path := range slices.Sorted(maps.Keys(busiest.paths)) {
			fmt.Printf("slope requests vms=%d role=%s busiest path=%s per-second=%.3g\n", n, role, path, busiest.paths[path])
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

func column(name string, rows []usage, value func(usage) float64) string {
	vs := make([]float64, 0, len(rows))
	for _, r := range rows {
		vs = append(vs, value(r))
	}
	slices.Sort(vs)
	return fmt.Sprintf(" %s-p50=%.4g %s-max=%.4g", name, vs[len(vs)/2], name, vs[len(vs)-1])
}
