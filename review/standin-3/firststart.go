package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// firstStartTime is the time in which the manifest must be confirmed and requests served, many times ackTimeoutMs and recoveryS.
const firstStartTime = 60 * time.Second

// playFirstStart starts the whole system for the first time and, as its disruption, one of the three control VMs is lost as it starts and
// stays down. The operator sends the first manifest until it is confirmed, and callers send requests.
func playFirstStart(ctx context.Context, d *deployment, trouble bool) error {
	for i := range engineCount {
		if err := d.addEngine(&engine{service: "portal", number: i, work: engineWork, downTime: crashDownTime}); err != nil {
			return err
		}
	}
	if err := d.startAll(); err != nil {
		return err
	}
	if trouble {
		d.mu.Lock()
		lost := d.processes[controls-1]
		d.mu.Unlock()
		d.kill(lost)
	}
	ctx, stop := context.WithTimeout(ctx, firstStartTime)
	defer stop()
	var t tally
	var callers sync.WaitGroup
	for i := range entries {
		callers.Go(func() {
			d.poll(ctx, i, request{
				caller: fmt.Sprintf("caller-%d", i), host: "portal.example", path: "/orders/list", body: fmt.Sprintf(`{"stand":%d}`, i),
				budget: requestBudget, retries: 1, proper: true,
			}, requestInterval, &t)
		})
	}
	err := d.putManifest(ctx, manifest(7, route("r-list", idempotent, "portal.example", "/orders/", "portal"), plainService("portal")))
	if err == nil {
		sleep(ctx, 10*time.Second)
		stop()
	}
	callers.Wait()
	d.rec.printf("manifest confirmed: %t; requests: %d, served %d", err == nil, t.attempts, t.served)
	if t.served == 0 {
		return errors.Join(fmt.Errorf("no request was served, %d sent in %v: %w", t.attempts, firstStartTime, errBroken), err)
	}
	return err
}
