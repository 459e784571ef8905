package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Sizes and times of the case in which all processes are killed while a part of prompts crashes engines.
const (
	blameEngines   = 6
	crashingPart   = "0badc0de"
	soundInterval  = 50 * time.Millisecond
	learnTime      = 20 * time.Second // in which a request with the part comes each learnInterval
	learnInterval  = 400 * time.Millisecond
	downTime       = 700 * time.Millisecond // of the processes
	quietTime      = 12 * time.Second       // without requests with the part, after the kill
	laterTime      = 12 * time.Second       // in which a request with the part comes each laterInterval
	laterInterval  = 400 * time.Millisecond
	contactTime    = 4 * time.Second
	crashesKnown   = 5 // crashes after which the rule counts
	allowedArrival = 3
)

var restartBlameOptions = deploymentOptions{
	controls: 3, entries: 4, zones: []string{"a", "b", "c"},
	engines: repeat(blameEngines, engineOptions{
		service: "llm", slots: 64, models: []string{modelName(0)}, adapterSlots: 5, maxModels: 3, loadTime: 3 * time.Second,
		startTime: 20 * time.Millisecond, events: 40, eventInterval: 10 * time.Millisecond, downTime: 2500 * time.Millisecond,
	}),
	config: modelConfig(1, 0, []any{route("draft", "/draft/", "stream", 2, true, 15000, 3000)}),
}

func repeat(n int, o engineOptions) []engineOptions {
	out := make([]engineOptions, n)
	for i := range out {
		out[i] = o
	}
	return out
}

// A blamePlay counts the requests with the crashing part that reach engines.
type blamePlay struct {
	d      *deployment
	client *http.Client

	mu       sync.Mutex
	arrivals []time.Time // each of them crashed its engine
	served   int         // sound calls
	lost     int         // sound calls that were broken off or failed, but for those that no process could take
}

// playRestartBlame sends sound calls and calls with a part that crashes each engine which begins to write an answer on it. It checks
// that few of the latter reach engines once five have crashed, also after all processes were killed and started again.
func playRestartBlame(ctx context.Context, d *deployment, trouble bool) ([]string, error) {
	p := &blamePlay{d: d, client: newCallerClient()}
	for _, e := range d.engines {
		e.crashesOn = isCrashing
		e.onRun = func(_ *engine, r *http.Request) {
			if isCrashing(r) {
				p.mu.Lock()
				defer p.mu.Unlock()
				p.arrivals = append(p.arrivals, time.Now())
			}
		}
	}
	var group sync.WaitGroup
	soundCtx, stopSound := context.WithCancel(ctx)
	group.Go(func() { p.sendSound(soundCtx) })
	p.sendCrashing(ctx, learnTime, learnInterval)
	known := p.count()
	if known < crashesKnown {
		stopSound()
		group.Wait()
		return nil, fmt.Errorf("only %d engines crashed", known)
	}
	if trouble {
		if err := p.killAll(ctx); err != nil {
			stopSound()
			return nil, err
		}
	}
	restarted := time.Now()
	sleep(ctx, quietTime)
	p.sendCrashing(ctx, laterTime, laterInterval)
	stopSound()
	group.Wait()
	return p.judge(restarted)
}

func isCrashing(r *http.Request) bool {
	return strings.Contains(r.Header.Get(headerPrefix), crashingPart)
}

func (p *blamePlay) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.arrivals)
}

// draft returns a call at the entry VM with the given second part of its prompt.
func (p *blamePlay) draft(entry int, part string) call {
	return call{
		entry: entry, path: "/draft/x", model: modelName(0), parts: "0a1b2c3d:103," + part + ":68", body: fmt.Sprintf("draft %d", rand.Uint64()),
		deadline: 15 * time.Second,
	}
}

func (p *blamePlay) sendSound(ctx context.Context) {
	var group sync.WaitGroup
	for sleep(ctx, soundInterval) {
		group.Go(func() {
			o := p.d.send(context.WithoutCancel(ctx), p.client, p.draft(rand.IntN(len(p.d.entries)), fmt.Sprintf("50%06x", rand.IntN(8))), nil)
			p.mu.Lock()
			defer p.mu.Unlock()
			switch {
			case o.status == http.StatusOK && o.whole:
				p.served++
			case o.status != 0 && o.status != http.StatusServiceUnavailable:
				p.lost++
			}
		})
	}
	group.Wait()
}

// sendCrashing sends requests with the crashing part to one entry VM after the other.
func (p *blamePlay) sendCrashing(ctx context.Context, length, interval time.Duration) {
	var group sync.WaitGroup
	start := time.Now()
	for i := 0; time.Since(start) < length; i++ {
		group.Go(func() { p.d.send(ctx, p.client, p.draft(i%len(p.d.entries), crashingPart), nil) })
		if !sleep(ctx, interval) {
			break
		}
	}
	group.Wait()
}

// killAll kills all processes at the same moment and starts them again.
func (p *blamePlay) killAll(ctx context.Context) error {
	for _, process := range p.d.processes() {
		process.signal(syscall.SIGKILL)
	}
	sleep(ctx, downTime)
	var errs []error
	for _, process := range p.d.processes() {
		process.kill() // waits for the exit
		errs = append(errs, process.start(false))
	}
	return errors.Join(errs...)
}

// judge counts the requests with the part that machines in touch sent later than contactTime after the fifth crash. After the kill of
// all processes, machines are in touch from twice contactTime on.
func (p *blamePlay) judge(restarted time.Time) ([]string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before, after := 0, 0
	for _, at := range p.arrivals[crashesKnown:] {
		switch {
		case at.Sub(p.arrivals[crashesKnown-1]) <= contactTime:
		case at.Before(restarted):
			before++
		case at.Sub(restarted) > 2*contactTime:
			after++
		}
	}
	fmt.Printf("engines crashed %d times, %d late ones before and %d after the kill; sound calls served %d, broken off or failed %d\n",
		len(p.arrivals), before, after, p.served, p.lost)
	if p.served == 0 {
		return nil, errors.New("no sound call was served")
	}
	if before+after > allowedArrival {
		return []string{fmt.Sprintf("BUDGET: %d requests with the crashing part reached engines late", before+after)}, nil
	}
	return nil, nil
}
