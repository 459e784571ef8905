package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Sizes of the case with late copies of answers.
const (
	lateCopyLength   = 90 * time.Second
	lateCopyOn       = 5 * time.Second // how long engines send late copies
	lateCopyOff      = 2 * time.Second // the pause after that
	lateCopyShare    = 0.03            // of the answers of a faulty engine
	lateCopyFaulty   = 6               // of the engines
	lateCopyEngines  = 12
	lateCopyResident = 3   // models that each engine holds, and no other engine
	lateCopyAdapters = 3   // of each model
	lateCopyCalls    = 200 // a second
)

var lateCopyOptions = deploymentOptions{
	controls: 3, entries: 8, zones: []string{"a", "b", "c"}, engines: lateCopyEngineOptions(),
	config: modelConfig(lateCopyEngines*lateCopyResident, lateCopyAdapters,
		[]any{route("hint", "/hint/", "stream", 1, false, 4000, 500)}),
}

func lateCopyEngineOptions() []engineOptions {
	var out []engineOptions
	for i := range lateCopyEngines {
		o := engineOptions{
			service: "llm", slots: 64, adapterSlots: 5, maxModels: lateCopyResident, loadTime: 3 * time.Second,
			startTime: 5 * time.Millisecond, events: 4, eventInterval: 10 * time.Millisecond, downTime: 3 * time.Second,
		}
		for n := range lateCopyResident {
			o.models = append(o.models, modelName(i*lateCopyResident+n))
		}
		out = append(out, o)
	}
	return out
}

func modelName(i int) string {
	return fmt.Sprintf("model-%d", i)
}

// route returns a route of the service llm.
func route(name, prefix, kind string, maxAttempts int, resumable bool, timeoutMs, targetMs int) any {
	return map[string]any{
		"name": name, "host": routeHost, "pathPrefix": prefix, "kind": kind, "timeoutMs": timeoutMs, "targetLatencyMs": targetMs,
		"priority": 1, "service": "llm", "maxAttempts": maxAttempts, "sticky": true, "resumable": resumable, "gapTargetMs": 200,
	}
}

// modelConfig returns a manifest with models of which three fit into an engine.
func modelConfig(models, adapters int, routes []any) map[string]any {
	var list []any
	for i := range models {
		list = append(list, map[string]any{
			"name": modelName(i), "weightsMb": 72700, "loadS": 3.2, "adapters": adapters, "adapterMb": 66, "warmS": 0.47, "diskS": 0.64,
		})
	}
	return map[string]any{
		"version": 1, "routes": routes,
		"services": []any{map[string]any{
			"name": "llm", "healthPath": "/health", "maxConns": 370, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 64, "kvCapacity": 113991, "kvTokenBytes": 163840, "linkMbps": 1500000, "stride": 5, "weightsMb": 230000,
				"adapterSlots": 5, "loadsPerS": 2.4,
				"models": list,
			},
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// playLateCopy sends calls of a stream that must not run twice, for adapters of which the engines hold a few at a time. Some engines
// send a second copy of some of their answers late. It checks that no attempt runs twice, and that none runs that was refused.
func playLateCopy(ctx context.Context, d *deployment, trouble bool) ([]string, error) {
	var mu sync.Mutex
	runs := make(map[string]int)
	refused := make(map[string]int)
	copies := 0
	start := time.Now()
	for i, e := range d.engines {
		e.onRun = func(_ *engine, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			runs[r.Header.Get(headerAttempt)]++
		}
		if !trouble || i >= lateCopyFaulty {
			continue
		}
		e.copyLate = func() bool {
			if time.Since(start)%(lateCopyOn+lateCopyOff) > lateCopyOn || rand.Float64() >= lateCopyShare {
				return false
			}
			mu.Lock()
			defer mu.Unlock()
			copies++
			return true
		}
	}
	client := newCallerClient()
	served := 0
	var group sync.WaitGroup
	ticker := time.NewTicker(time.Second / lateCopyCalls)
	defer ticker.Stop()
	for time.Since(start) < lateCopyLength && ctx.Err() == nil {
		<-ticker.C
		group.Go(func() {
			o := d.send(ctx, client, call{
				entry: rand.IntN(len(d.entries)), path: "/hint/x",
				model: fmt.Sprintf("%s/a%d", modelName(rand.IntN(lateCopyEngines*lateCopyResident)), 1+rand.IntN(lateCopyAdapters)),
				parts: "0a1b2c3d:55,1a2b3c4d:36", body: "hint", deadline: 4 * time.Second,
			}, nil)
			mu.Lock()
			defer mu.Unlock()
			switch o.status {
			case http.StatusOK:
				served++
			case http.StatusServiceUnavailable, http.StatusTooManyRequests:
				refused[o.attempt] = o.status
			}
		})
	}
	group.Wait()
	sleep(ctx, 2*time.Second)
	mu.Lock()
	defer mu.Unlock()
	var broken []string
	for attempt, n := range runs {
		if n > 1 {
			broken = append(broken, fmt.Sprintf("TWICE: attempt %s of a stream that can't be resumed ran %d times", attempt, n))
		}
		if status := refused[attempt]; status != 0 {
			broken = append(broken, fmt.Sprintf("REFUSED: attempt %s was answered %d and ran", attempt, status))
		}
	}
	fmt.Printf("attempts run %d, served %d, refused %d, late copies planned %d, TWICE or REFUSED %d\n",
		len(runs), served, len(refused), copies, len(broken))
	if served == 0 {
		return nil, fmt.Errorf("no call was served")
	}
	return broken, nil
}
