package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/test/deployment"
)

const (
	longAnswerTokens = 150
	faultsPath       = "/emulate/faults"
	maxCrashes       = 3 // crashes after which a poison request must be refused
	poisonPrompt     = "crash-the-engine"
	noFaults         = `{}`
	leavingGrace     = 3 * time.Second // after it a leaving engine must receive no requests

	refusalDelay = 2 * time.Second // after the third crash, until all VMs must refuse the request
)

func setEngineFaults(ctx context.Context, d *deployment.Deployment, n int, faults string) error {
	code, body, err := deployment.NewCaller(d.Address(deployment.ExampleEngineAddress(n))).Post(ctx, faultsPath, "", []byte(faults))
	if err == nil && code != http.StatusOK {
		err = errors.Newf("engine %d: status %d: %s", n, code, body)
	}
	return err
}

func setAllEngineFaults(ctx context.Context, d *deployment.Deployment, faults string) error {
	var err error
	for i := 1; i <= deployment.EngineCount; i++ {
		err = errors.Join(err, setEngineFaults(ctx, d, i, faults))
	}
	return err
}

type engineStatus struct {
	Overcommits int    `json:"overcommits"`
	BootID      string `json:"boot-id"`
	Accepted    int    `json:"accepted-requests"`
	Refused     int    `json:"refused-requests"`
	Crashes     int    `json:"crashes"`
}

func fetchEngineStatus(ctx context.Context, d *deployment.Deployment, n int) (engineStatus, error) {
	var s engineStatus
	body, err := deployment.Get(ctx, d.Address(deployment.ExampleEngineAddress(n)), "/emulate/status")
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal([]byte(body), &s)
}

// checkOvercommits returns an error if the memory of any engine was ever overcommitted.
func checkOvercommits(ctx context.Context, d *deployment.Deployment) error {
	for i := 1; i <= deployment.EngineCount; i++ {
		s, err := fetchEngineStatus(ctx, d, i)
		if err != nil {
			return err
		}
		if s.Overcommits > 0 {
			return errors.Newf("engine-%d was overcommitted %d times", i, s.Overcommits)
		}
	}
	return nil
}

// engineCrash crashes an engine that serves the model while an answer is streamed; the caller must get the same whole answer as
// without a crash.
func engineCrash(ctx context.Context, d *deployment.Deployment) (string, error) {
	want, err := completeChat(ctx, d.Caller(1), "manual", "freight deadlines", longAnswerTokens, nil)
	if err != nil {
		return "", err
	}
	var faultErr error
	got, err := completeChat(ctx, d.Caller(1), "manual", "freight deadlines", longAnswerTokens, func(n int) {
		if n == longAnswerTokens/3 {
			faultErr = setEngineFaults(ctx, d, 1, `{"crash":true}`)
		}
	})
	if err = errors.Join(err, faultErr); err != nil {
		return "", err
	}
	if got.Text != want.Text {
		return "", errors.New("the answer resumed after the crash differs from the answer without a crash")
	}
	if err := awaitModel(ctx, d, "manual"); err != nil {
		return "", err
	}
	return "engine-1 crashed in the middle of an answer; the caller got the whole answer unchanged", nil
}

// silentConnection makes the next stream of every engine stall after 40 tokens with its connection open; the answer must be
// resumed and complete.
func silentConnection(ctx context.Context, d *deployment.Deployment) (string, error) {
	want, err := completeChat(ctx, d.Caller(2), "headings", "subject headings", longAnswerTokens, nil)
	if err != nil {
		return "", err
	}
	if err := setAllEngineFaults(ctx, d, `{"silent-streams":1,"silent-after":40}`); err != nil {
		return "", err
	}
	begin := time.Now()
	got, err := completeChat(ctx, d.Caller(2), "headings", "subject headings", longAnswerTokens, nil)
	if err = errors.Join(err, setAllEngineFaults(ctx, d, noFaults)); err != nil {
		return "", err
	}
	if got.Text != want.Text {
		return "", errors.New("the answer resumed after the stall differs from the answer without a stall")
	}
	took := time.Since(begin).Round(100 * time.Millisecond)
	return fmt.Sprintf("a stream went silent after 40 tokens; the whole answer arrived in %s", took), nil
}

// poisonRequest sends a request that crashes every engine it reaches to one VM after the other; after three crashes all VMs
// must refuse it with status 422.
func poisonRequest(ctx context.Context, d *deployment.Deployment) (string, error) {
	if err := setAllEngineFaults(ctx, d, `{"crash-on":"`+poisonPrompt+`"}`); err != nil {
		return "", err
	}
	n, err := countCrashes(ctx, d, func(n int) error {
		if _, err := d.Caller(n).Chat(ctx, "manual", poisonPrompt, 5, nil); err == nil {
			return errors.New("the poison request got an answer without an error")
		}
		return nil
	})
	if err != nil {
		return "", err
	}
	if _, err := d.Caller(3).Chat(ctx, "manual", poisonPrompt, 5, nil); err == nil || !strings.Contains(err.Error(), "422") {
		return "", errors.Newf("expected status 422 for the poison request, got %v", err)
	}
	if err := setAllEngineFaults(ctx, d, noFaults); err != nil {
		return "", err
	}
	if err := awaitModel(ctx, d, "manual"); err != nil {
		return "", err
	}
	return fmt.Sprintf("sent 18 times through three VMs it crashed engines %d times and is refused everywhere", n), nil
}

// countCrashes sends a request 18 times through the VMs in turn and counts the crashes. The report of the third crash reaches
// the other VMs through the log, so that further crashes are allowed up to refusalDelay after it.
func countCrashes(ctx context.Context, d *deployment.Deployment, send func(entry int) error) (int, error) {
	before, err := totalCrashes(ctx, d)
	if err != nil {
		return 0, err
	}
	counted := 0
	var thirdAt time.Time
	for i := range 6 * deployment.EntryVMCount {
		if err := send(1 + i%deployment.EntryVMCount); err != nil {
			return 0, err
		}
		now, err := totalCrashes(ctx, d)
		if err != nil {
			return 0, err
		}
		n := now - before
		if n > maxCrashes && n > counted && !thirdAt.IsZero() && time.Since(thirdAt) > refusalDelay {
			return 0, errors.Newf("crash %d came %s after the third one", n, time.Since(thirdAt).Round(time.Millisecond))
		}
		if n >= maxCrashes && thirdAt.IsZero() {
			thirdAt = time.Now()
		}
		counted = n
	}
	if counted == 0 {
		return 0, errors.New("the poison request crashed no engine, so that its refusal was not tested")
	}
	return counted, nil
}

// innocentBesideCrashes crashes engines while a harmless request is in flight there; since the request did not cause the
// crashes, it must not be refused as a poison request.
func innocentBesideCrashes(ctx context.Context, d *deployment.Deployment) (string, error) {
	const prompt, rounds = "an innocent question", 2
	for range rounds {
		engine, err := awaitLocalEngine(ctx, d, "manual")
		if err != nil {
			return "", err
		}
		var faultErr error
		_, err = completeChat(ctx, d.Caller(1), "manual", prompt, longAnswerTokens, func(n int) {
			if n == longAnswerTokens/3 {
				faultErr = setEngineFaults(ctx, d, engine, `{"crash":true}`)
			}
		})
		if err = errors.Join(err, faultErr); err != nil {
			return "", errors.Wrap(err, "request in flight at a crash")
		}
	}
	for n := 1; n <= deployment.EntryVMCount; n++ {
		if _, err := completeChat(ctx, d.Caller(n), "manual", prompt, longAnswerTokens, nil); err != nil {
			return "", errors.Wrapf(err, "request through entry-%d after the crashes", n)
		}
	}
	return fmt.Sprintf("a request that was in flight at %d crashes is whole each time and still served by all VMs", rounds), nil
}

// awaitLocalEngine waits until entry-1 reports that engine-1 or engine-2, which are in its own data centre, serves the model,
// and returns the number of that engine.
func awaitLocalEngine(ctx context.Context, d *deployment.Deployment, model string) (engine int, err error) {
	err = deployment.Eventually(ctx, func() error {
		s, err := d.State(ctx, "entry-1")
		if err != nil {
			return err
		}
		for _, n := range []int{1, 2} {
			if s.HasReadyModel(model, fmt.Sprintf("engine-%d", n)) {
				engine = n
				return nil
			}
		}
		return errors.Newf("no engine in the data centre of entry-1 serves model %s; places are %v", model, s.Places)
	})
	return engine, err
}

// totalCrashes returns the number of crashes of all engines so far.
func totalCrashes(ctx context.Context, d *deployment.Deployment) (int, error) {
	n := 0
	for i := 1; i <= deployment.EngineCount; i++ {
		s, err := fetchEngineStatus(ctx, d, i)
		if err != nil {
			return 0, err
		}
		n += s.Crashes
	}
	return n, nil
}

// bookingAnswerLost makes the service close the connection after it ran a call, and sends the call again through the other
// VMs. No VM may report success or that the call was not run, and the service must run it once.
func bookingAnswerLost(ctx context.Context, d *deployment.Deployment) (string, error) {
	booking := deployment.NewCaller(d.Address(deployment.ExampleBookingAddress))
	if _, _, err := booking.Post(ctx, faultsPath, "", []byte(`{"lose-answers":1}`)); err != nil {
		return "", err
	}
	const key = "order-lost"
	for n := 1; n <= deployment.EntryVMCount; n++ {
		code, body, err := d.Caller(n).Post(ctx, "/booking/orders", key, []byte(`{"service":"power"}`))
		if err != nil {
			return "", err
		}
		if code == http.StatusOK || strings.Contains(body, `"not-run":true`) || strings.Contains(body, `"not-run": true`) {
			return "", errors.Newf("entry-%d answered status %d: %s, although the outcome is unknown", n, code, body)
		}
	}
	runs, err := deployment.Get(ctx, d.Address(deployment.ExampleBookingAddress), "/emulate/runs")
	if err != nil {
		return "", err
	}
	var counts map[string]int
	if err := json.Unmarshal([]byte(runs), &counts); err != nil {
		return "", err
	}
	if counts[key] != 1 {
		return "", errors.Newf("the booking ran %d times, expected 1", counts[key])
	}
	return "the answer was lost; three VMs said that the outcome is unknown, and the booking ran once", nil
}

// entryKilled kills the VM that streams an answer; the caller must not take the truncated answer for a complete one, and the
// other VMs must go on serving.
func entryKilled(ctx context.Context, d *deployment.Deployment) (string, error) {
	resp, err := d.Caller(1).Chat(ctx, "manual", "stand rules", longAnswerTokens, func(n int) {
		if n == longAnswerTokens/3 {
			d.Kill("entry-1")
		}
	})
	if resp.Complete {
		return "", errors.New("a truncated answer was marked as complete")
	}
	if err == nil && resp.Tokens == longAnswerTokens {
		return "", errors.New("the answer had all tokens although its VM was killed")
	}
	if _, err := completeChat(ctx, d.Caller(2), "manual", "stand rules", longAnswerTokens, nil); err != nil {
		return "", err
	}
	if err := d.StartVM("entry-1"); err != nil {
		return "", err
	}
	return fmt.Sprintf("cut off after %d tokens without [DONE]; entry-2 served the same request whole", resp.Tokens),
		d.AwaitReady(ctx, "entry-1")
}

// leavingServer marks an engine as leaving by a ticket; from leavingGrace on it must receive no requests, and all requests
// must still be served.
func leavingServer(ctx context.Context, d *deployment.Deployment) (string, error) {
	engine, err := findUsedEngine(ctx, d)
	if err != nil {
		return "", err
	}
	text, err := os.ReadFile(d.Ticket)
	if err != nil {
		return "", err
	}
	line := engineDeclaration(string(text), fmt.Sprintf("engine-%d", engine))
	leaving := strings.Replace(line, "checks-fencing", "leaving: true, checks-fencing", 1)
	if err := applyTicket(ctx, d, 7000, "backend-servers:\n"+leaving); err != nil {
		return "", err
	}
	if err := checkNoNewRequests(ctx, d, engine); err != nil {
		return "", err
	}
	return fmt.Sprintf("engine-%d left by ticket: 60 requests after 3 s went elsewhere and were whole", engine),
		applyTicket(ctx, d, 7001, "backend-servers:\n"+line)
}

// findUsedEngine returns the number of an engine that requests for the model manual through entry-1 reach. It sends 10 and
// compares the counts, since the router may send all of a few requests to one of several engines that serve the model.
func findUsedEngine(ctx context.Context, d *deployment.Deployment) (int, error) {
	if _, err := awaitLocalEngine(ctx, d, "manual"); err != nil {
		return 0, err
	}
	before, err := acceptedRequests(ctx, d)
	if err != nil {
		return 0, err
	}
	for range 10 {
		if _, err := completeChat(ctx, d.Caller(1), "manual", "before leaving", 3, nil); err != nil {
			return 0, err
		}
	}
	after, err := acceptedRequests(ctx, d)
	if err != nil {
		return 0, err
	}
	for i := range after {
		if after[i] > before[i] {
			return i + 1, nil
		}
	}
	return 0, errors.New("no engine received the requests")
}

// acceptedRequests returns how many requests each engine has accepted.
func acceptedRequests(ctx context.Context, d *deployment.Deployment) ([]int, error) {
	var out []int
	for i := 1; i <= deployment.EngineCount; i++ {
		s, err := fetchEngineStatus(ctx, d, i)
		if err != nil {
			return nil, err
		}
		out = append(out, s.Accepted)
	}
	return out, nil
}

// checkNoNewRequests waits for leavingGrace and then checks that 60 requests are all served without reaching the engine.
func checkNoNewRequests(ctx context.Context, d *deployment.Deployment, engine int) error {
	if !deck.Sleep(ctx, leavingGrace) {
		return ctx.Err()
	}
	before, err := fetchEngineStatus(ctx, d, engine)
	if err != nil {
		return err
	}
	for range 20 {
		for n := 1; n <= deployment.EntryVMCount; n++ {
			if _, err := completeChat(ctx, d.Caller(n), "manual", "after leaving", 3, nil); err != nil {
				return errors.Wrap(err, "request while an engine leaves")
			}
		}
	}
	after, err := fetchEngineStatus(ctx, d, engine)
	if err == nil && after.Accepted != before.Accepted {
		err = errors.Newf("the leaving engine received %d requests", after.Accepted-before.Accepted)
	}
	return err
}

// leavingByList marks an engine as leaving in the platform's VM list; the same must hold as in leavingServer.
func leavingByList(ctx context.Context, d *deployment.Deployment) (string, error) {
	platform := deployment.NewCaller(d.Address(deployment.ExamplePlatformAddress))
	set := func(vms string) error {
		_, _, err := platform.Post(ctx, "/emulate/vms", "", []byte(vms))
		return err
	}
	engine, err := findUsedEngine(ctx, d)
	if err != nil {
		return "", err
	}
	if err := set(fmt.Sprintf(`{"vms":[{"vm":"engine-%d","leaving":true}]}`, engine)); err != nil {
		return "", err
	}
	if err := checkNoNewRequests(ctx, d, engine); err != nil {
		return "", err
	}
	return fmt.Sprintf("the platform's list showed engine-%d as leaving: 60 requests after 3 s went elsewhere", engine),
		set(`{"vms":[]}`)
}

// versionChange makes another version of a model active while answers are streamed; each must be complete.
func versionChange(ctx context.Context, d *deployment.Deployment) (string, error) {
	const model = `models:
  - name: manual
    active-version: v2
    versions:
      - {name: v1, weight-bytes: 4294967296, kv-reserve-bytes: 2147483648, transient-bytes: 536870912}
      - {name: v2, weight-bytes: 4294967296, kv-reserve-bytes: 2147483648, transient-bytes: 536870912}
`
	chatCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	completed := 0
	var g errgroup.Group
	g.Go(func() error {
		for chatCtx.Err() == nil {
			if _, err := completeChat(ctx, d.Caller(2), "manual", "during the change", 10, nil); err != nil {
				return err
			}
			completed++
		}
		return nil
	})
	err := applyTicket(ctx, d, 6000, model)
	if err == nil {
		err = awaitVersion(ctx, d, "manual", "v2")
	}
	cancel()
	if err = errors.Join(err, g.Wait()); err != nil {
		return "", err
	}
	return fmt.Sprintf("v2 replaced v1; %d answers before, during and after were whole and none was refused", completed), nil
}

// operationsDisturbed makes each engine lose one operation, delay and repeat the others and report its state late, while a
// ticket changes the version of a model; the change must still be completed.
func operationsDisturbed(ctx context.Context, d *deployment.Deployment) (string, error) {
	const faults = `{"lose-operations":1,"delay-operations-ms":1500,"repeat-operations":true,"report-lag-ms":1000}`
	const model = `models:
  - name: headings
    active-version: v2
    versions:
      - {name: v1, weight-bytes: 6442450944, kv-reserve-bytes: 2147483648, transient-bytes: 536870912}
      - {name: v2, weight-bytes: 6442450944, kv-reserve-bytes: 2147483648, transient-bytes: 536870912}
`
	if err := setAllEngineFaults(ctx, d, faults); err != nil {
		return "", err
	}
	begin := time.Now()
	err := applyTicket(ctx, d, 6500, model)
	if err == nil {
		err = awaitVersion(ctx, d, "headings", "v2")
	}
	if err = errors.Join(err, setAllEngineFaults(ctx, d, noFaults)); err != nil {
		return "", err
	}
	took := time.Since(begin).Round(100 * time.Millisecond)
	if _, err := completeChat(ctx, d.Caller(1), "headings", "after the change", 10, nil); err != nil {
		return "", err
	}
	return fmt.Sprintf("operations lost, late and repeated: the new version was in place after %s, no memory overcommitted",
		took), nil
}

// awaitVersion waits until entry-2 reports that the model is served, and only in this version.
func awaitVersion(ctx context.Context, d *deployment.Deployment, model, version string) error {
	return deployment.Eventually(ctx, func() error {
		s, err := d.State(ctx, "entry-2")
		if err != nil {
			return err
		}
		found := false
		for _, p := range s.Places {
			if p.Model != model {
				continue
			}
			if p.Version != version || !p.Ready {
				return errors.Newf("%s: model %s is in version %s or not ready", p.Backend, model, p.Version)
			}
			found = true
		}
		if !found {
			return errors.Newf("no engine serves model %s", model)
		}
		return nil
	})
}
