package main

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	engineWork  = 60 * time.Millisecond
	engineCount = 3 // of exhibitor-portal

	requestBudget   = 2500 * time.Millisecond // of service-booking and booking-lookup
	requestInterval = time.Second             // between two requests of a caller

	pollTime = 70 * time.Second // in which callers send requests

	crashDownTime  = 4500 * time.Millisecond // for_s of srv_crash
	deadlyDownTime = 2 * time.Second         // of an engine that a request has crashed
	crashGap       = 8 * time.Second
	crashCount     = 3
)

// Kinds of route.
const (
	idempotent = "idempotent"
	once       = "non_idempotent"
)

func route(name, kind, host, prefix, service string) string {
	return fmt.Sprintf(`{"name":%q,"host":%q,"pathPrefix":%q,"kind":%q,"timeoutMs":2500,"targetLatencyMs":400,"priority":1,`+
		`"service":%q,"maxAttempts":2,"sticky":false,"resumable":false}`, name, host, prefix, kind, service)
}

func plainService(name string) string {
	return fmt.Sprintf(`{"name":%q,"healthPath":%q,"maxConns":110,"protocol":"h1","tls":false}`, name, healthPath)
}

func manifest(version int, routes, services string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`, version, routes, services)
}

// begin starts the system with the manifest and waits until all machines are in touch.
func (d *deployment) begin(ctx context.Context, m string) error {
	if err := d.startAll(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, 25*time.Second)
	defer cancel()
	if err := d.putManifest(ctx, m); err != nil {
		return err
	}
	if err := d.awaitReady(ctx); err != nil {
		return err
	}
	sleep(ctx, contactTime)
	return nil
}

// playUnrelatedCrashes lets three callers hand in what has been collected with the same request, once a second each, while the three
// engines of the service crash one after the other and come back.
func playUnrelatedCrashes(ctx context.Context, d *deployment, trouble bool) error {
	var armed atomic.Int64 // number of the engine that is to crash while it works, and 1; 0 for none
	for i := range engineCount {
		e := &engine{service: "portal", number: i, work: engineWork, downTime: crashDownTime}
		e.onEvent = func(e *engine, ev engineEvent) {
			if ev.what == "begin" && armed.CompareAndSwap(int64(e.number)+1, 0) {
				e.crash()
			}
		}
		if err := d.addEngine(e); err != nil {
			return err
		}
	}
	if err := d.begin(ctx, manifest(7, route("r-orders", once, "portal.example", "/orders/", "portal"), plainService("portal"))); err != nil {
		return err
	}
	var t tally
	var callers sync.WaitGroup
	ctx, stop := context.WithTimeout(ctx, pollTime)
	defer stop()
	for i := range entries {
		callers.Go(func() {
			sleep(ctx, time.Duration(i)*requestInterval/entries)
			d.poll(ctx, i, request{
				caller: fmt.Sprintf("caller-%d", i), host: "portal.example", path: "/orders/place", body: `{"place":"collected"}`,
				budget: requestBudget, retries: 1, once: true, proper: true,
			}, requestInterval, &t)
		})
	}
	for i := 0; i < crashCount && sleep(ctx, crashGap); i++ {
		if trouble {
			armed.Store(int64(i) + 1)
		}
	}
	callers.Wait()
	return t.check(d.rec)
}

const (
	twinInterval    = 50 * time.Millisecond // between two requests of a caller of the other host
	crasherInterval = time.Second

	// allowedRetries is how often a request that crashes its engines may reach engines later than contactTime after it has crashed the third.
	allowedRetries = 3
	crashesToKnow  = 3
)

// playOtherHost lets a request that crashes its engines come to one host again and again, while callers of another host, which another
// service serves, send sound requests with the same path and body.
func playOtherHost(ctx context.Context, d *deployment, trouble bool) error {
	const body = `{"page":1}`
	var mu sync.Mutex
	var crashes []time.Time
	for i := range engineCount {
		e := &engine{service: "manual", number: i, work: engineWork, deadly: body, downTime: deadlyDownTime}
		e.onEvent = func(_ *engine, ev engineEvent) {
			if ev.what == "crash" {
				mu.Lock()
				defer mu.Unlock()
				crashes = append(crashes, time.Now())
			}
		}
		if err := d.addEngine(e); err != nil {
			return err
		}
		if err := d.addEngine(&engine{service: "portal", number: engineCount + i, work: engineWork, downTime: crashDownTime}); err != nil {
			return err
		}
	}
	routes := route("r-manual", idempotent, "manual.example", "/v1/", "manual") + "," + route("r-portal", idempotent, "portal.example", "/v1/", "portal")
	if err := d.begin(ctx, manifest(7, routes, plainService("manual")+","+plainService("portal"))); err != nil {
		return err
	}
	var t tally
	var callers sync.WaitGroup
	ctx, stop := context.WithTimeout(ctx, pollTime)
	defer stop()
	other := request{host: "portal.example", path: "/v1/list", body: body, budget: requestBudget, retries: 1, proper: true}
	for i := range 2 * entries {
		callers.Go(func() {
			r := other
			r.caller = fmt.Sprintf("caller-%d", i)
			d.poll(ctx, i%entries, r, twinInterval, &t)
		})
	}
	if trouble {
		callers.Go(func() {
			sleep(ctx, crashGap)
			d.poll(ctx, 0, request{
				caller: "crasher", host: "manual.example", path: "/v1/list", body: body, budget: requestBudget, retries: 1,
			}, crasherInterval, &t)
		})
	}
	callers.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for _, at := range crashes {
		if len(crashes) >= crashesToKnow && at.After(crashes[crashesToKnow-1].Add(contactTime)) {
			late++
		}
	}
	d.rec.printf("crashes by the request: %d, of these later than %v after the third: %d (allowed %d)", len(crashes), contactTime, late, allowedRetries)
	denied := t.check(d.rec)
	if late > allowedRetries {
		return fmt.Errorf("BUDGET: the request has crashed %d engines later than %v after the third: %w", late, contactTime, errBroken)
	}
	return denied
}
