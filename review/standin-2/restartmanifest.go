package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Sizes and times of the case in which all processes are killed right after a manifest was acknowledged.
const (
	manifestRoutes     = 9000 // besides those of the probes
	manifestVersions   = 52   // before the last one
	secondOperatorLead = 20 * time.Millisecond
	downTime           = 700 * time.Millisecond
	probeInterval      = 40 * time.Millisecond
	probeTime          = 12 * time.Second // from the start of the processes
	contactTime        = 4 * time.Second  // contactMs
	applyTime          = 3 * time.Second  // configApplyMs
	probeDeadline      = time.Second

	routeHost  = "review.example"
	oldService = "old-app"
	newService = "new-app"
)

var restartManifestOptions = deploymentOptions{
	controls: 3, entries: 4, zones: []string{"a", "b", "c"},
	engines: []engineOptions{{oldService, 6}, {newService, 6}},
	config:  manifest(1, 0, false),
	delay:   30 * time.Millisecond,
}

// manifest returns a manifest with a number of further routes. The last version moves one route to another service and adds one.
func manifest(version, routes int, last bool) map[string]any {
	route := func(name, prefix, service string, timeoutMs int) map[string]any {
		return map[string]any{
			"name": name, "host": routeHost, "pathPrefix": prefix, "kind": "idempotent", "timeoutMs": timeoutMs, "targetLatencyMs": 400,
			"priority": 2, "service": service, "maxAttempts": 2, "sticky": false, "resumable": false, "gapTargetMs": 0,
		}
	}
	service := func(name string) any {
		return map[string]any{"name": name, "healthPath": healthPath, "maxConns": 110, "protocol": "h1", "tls": false}
	}
	moved := oldService
	if last {
		moved = newService
	}
	list := []any{route("moved", "/moved/", moved, 1200)}
	if last {
		list = append(list, route("added", "/added/", newService, 1200))
	}
	split := []any{map[string]any{"service": oldService, "weight": 90}, map[string]any{"service": newService, "weight": 10}}
	for i := range routes {
		r := route(fmt.Sprintf("customer-%05d-catalogue-lookup", i), fmt.Sprintf("/v1/customers/customer-%05d/catalogue/", i), "", 1200+version%7)
		delete(r, "service")
		r["split"] = split
		list = append(list, r)
	}
	return map[string]any{
		"version": version, "routes": list, "services": []any{service(oldService), service(newService)},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// A manifestPlay collects the answers to probes that only an older manifest allows.
type manifestPlay struct {
	d        *deployment
	client   *http.Client
	attempts atomic.Uint64

	mu     sync.Mutex
	late   map[string]int // by what was seen
	probes int            // that count
	sound  int            // of these, as the last manifest says
}

// playRestartManifest has the manifest change until the log holds many large versions, the last two times by two operators at once. It kills all processes as soon as the last version
// is acknowledged, starts them again and sends requests on the routes that this version moved and added.
func playRestartManifest(ctx context.Context, d *deployment, trouble bool) ([]string, error) {
	p := &manifestPlay{d: d, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, late: make(map[string]int)}
	for v := range manifestVersions {
		if err := d.putUntilAcknowledged(ctx, manifest(2+v, manifestRoutes, false)); err != nil {
			return nil, err
		}
	}
	sleep(ctx, 2*time.Second)
	var second sync.WaitGroup // another operator's change, a moment before the last one
	defer second.Wait()
	second.Go(func() { d.put(ctx, 0, manifest(2+manifestVersions, manifestRoutes, false)) })
	sleep(ctx, secondOperatorLead)
	if d.put(ctx, 0, manifest(3+manifestVersions, manifestRoutes, true)) != http.StatusOK {
		return nil, errors.New("the last manifest was not acknowledged at the first try")
	}
	acknowledged := time.Now()
	inTouch := acknowledged
	if trouble {
		if err := d.killAll(ctx); err != nil {
			return nil, err
		}
		inTouch = time.Now().Add(contactTime)
	}
	counts := acknowledged.Add(applyTime)
	if inTouch.After(counts) {
		counts = inTouch
	}
	d.record.addf("requests count from %.3f s on", time.Until(counts).Seconds())
	p.probe(ctx, counts)
	if p.sound == 0 {
		return nil, errors.New("the last manifest never was in force")
	}
	fmt.Printf("%d requests count, %d handled as the last manifest says, otherwise %v\n", p.probes, p.sound, p.late)
	var broken []string
	for what, n := range p.late {
		broken = append(broken, fmt.Sprintf("CONFIG: %s: %d requests", what, n))
	}
	return broken, nil
}

// killAll kills all processes at the same moment and starts them again.
func (d *deployment) killAll(ctx context.Context) error {
	for _, process := range d.processes() {
		process.signal(syscall.SIGKILL)
	}
	sleep(ctx, downTime)
	var errs []error
	for _, process := range d.processes() {
		process.kill() // waits for the exit
		errs = append(errs, process.start(false))
	}
	return errors.Join(errs...)
}

// probe sends requests to all entry VMs; those that are sent after the given time count.
func (p *manifestPlay) probe(ctx context.Context, counts time.Time) {
	var group sync.WaitGroup
	for i, start := 0, time.Now(); time.Since(start) < probeTime && sleep(ctx, probeInterval); i++ {
		entry := i % len(p.d.entries)
		for _, path := range []string{"/moved/x", "/added/x"} {
			sent := time.Now()
			group.Go(func() {
				status, ranAt := p.send(ctx, entry, path)
				if sent.After(counts) {
					p.count(path, status, ranAt)
				}
			})
		}
	}
	group.Wait()
}

func (p *manifestPlay) count(path string, status int, ranAt string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.probes++
	switch {
	case status == http.StatusOK && ranAt == newService:
		p.sound++
	case status == http.StatusOK && ranAt == oldService:
		p.late[path+" run by the service of an older version"]++
	case status == http.StatusNotFound:
		p.late[path+" answered 404 though the route is there"]++
	}
}

// send sends a request to an entry VM and returns the status, 0 without an answer, and the service that ran it.
func (p *manifestPlay) send(ctx context.Context, entry int, path string) (status int, ranAt string) {
	ctx, cancel := context.WithTimeout(ctx, probeDeadline)
	defer cancel()
	d := p.d
	attempt := fmt.Sprintf("%016x", 0xb000000000000000+p.attempts.Add(1))
	target := "http://" + address(d.ip(processNet, 1+d.entries[entry].index), d.ports.callers) + path
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return 0, ""
	}
	r.Host = routeHost
	r.Header.Set(headerAttempt, attempt)
	r.Header.Set("Geraniumdeck-Deadline-Ms", fmt.Sprint(probeDeadline.Milliseconds()))
	d.record.addf("%s sent to entry %d: %s", attempt, entry, path)
	resp, err := p.client.Do(r)
	if err != nil {
		d.record.addf("%s gets no answer: %v", attempt, err)
		return 0, ""
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	if resp.Header.Get(headerSignature) != "" {
		ranAt = string(data)
	}
	d.record.addf("%s gets %d, run by %q", attempt, resp.StatusCode, ranAt)
	return resp.StatusCode, ranAt
}
