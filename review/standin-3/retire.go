package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	modelMegabytes  = 72_700  // of each model
	engineMegabytes = 230_000 // of an engine, which has room for three models
	retireTime      = 40 * time.Second
)

// heldAtStart are the models that the engines hold at the start.
var heldAtStart = [][]string{{"m1", "m2", "m3"}, {"m4", "m5", "m6"}, {"m1", "m4", "m2"}}

// modelManifest returns a manifest with the models.
func modelManifest(version int, models []string) string {
	var list []string
	for _, m := range models {
		list = append(list, fmt.Sprintf(`{"name":%q,"weightsMb":%d.0,"loadS":3.0,"adapters":0,"adapterMb":66.0,"warmS":0.47,"diskS":0.64}`,
			m, modelMegabytes))
	}
	service := fmt.Sprintf(`{"name":"manual","healthPath":%q,"maxConns":370,"protocol":"h1","tls":false,"engine":{"slots":64,`+
		`"kvCapacity":113991,"kvTokenBytes":163840,"linkMbps":1500000.0,"moves":true,"backups":true,"stride":5,"maxCount":12,`+
		`"hostMb":150000.0,"diskMb":460000.0,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[%s],"weightsMb":%d.0,`+
		`"adapterSlots":5,"loadsPerS":2.4}}`, healthPath, strings.Join(list, ","), engineMegabytes)
	stream := `{"name":"r-notes","host":"notes.example","pathPrefix":"/notes/","kind":"stream","timeoutMs":12000,"targetLatencyMs":500,` +
		`"priority":1,"service":"manual","maxAttempts":2,"sticky":true,"resumable":true,"gapTargetMs":200}`
	return manifest(version, stream, service)
}

// playRetiredModel lets the operator replace a model by another one: the next manifest lacks the old one, which an engine still holds. Without
// the disruption that manifest adds the new model and keeps the old one.
func playRetiredModel(ctx context.Context, d *deployment, trouble bool) error {
	var mu sync.Mutex
	var overloads []string
	sizes := []string{}
	for i := 1; i <= 7; i++ {
		sizes = append(sizes, fmt.Sprintf("m%d=%d", i, modelMegabytes))
	}
	for i, held := range heldAtStart {
		e := &engine{
			service: "manual", number: i, slots: 64, downTime: crashDownTime, held: held,
			more: []string{"-capacity", fmt.Sprint(engineMegabytes), "-sizes", strings.Join(sizes, ","), "-events", "10"},
		}
		e.onEvent = func(e *engine, ev engineEvent) {
			if ev.what == "overload" {
				mu.Lock()
				defer mu.Unlock()
				overloads = append(overloads, fmt.Sprintf("engine %d %s", e.number, ev.attempt))
			}
		}
		if err := d.addEngine(e); err != nil {
			return err
		}
	}
	if err := d.begin(ctx, modelManifest(7, []string{"m1", "m2", "m3", "m4", "m5", "m6"})); err != nil {
		return err
	}
	ctx, stop := context.WithTimeout(ctx, retireTime)
	defer stop()
	var t streamTally
	var callers sync.WaitGroup
	for i, model := range []string{"m1", "m2", "m4", "m5", "m6"} { // none needs the model that is replaced
		callers.Go(func() {
			for sleep(ctx, 200*time.Millisecond) {
				t.add(d.readStream(ctx, i, model))
			}
		})
	}
	sleep(ctx, 8*time.Second)
	models := []string{"m1", "m2", "m4", "m5", "m6", "m7"}
	if !trouble {
		models = append(models, "m3")
	}
	if err := d.putManifest(ctx, modelManifest(11, models)); err != nil {
		return err
	}
	callers.Go(func() {
		for sleep(ctx, 500*time.Millisecond) {
			t.add(d.readStream(ctx, 6, "m7"))
		}
	})
	callers.Wait()
	mu.Lock()
	defer mu.Unlock()
	d.rec.printf("streams: %d; orders beyond an engine's memory: %d", t.all, len(overloads))
	if len(overloads) > 0 {
		return fmt.Errorf("LIMIT: %s: %w", strings.Join(overloads, "; "), errBroken)
	}
	return nil
}
