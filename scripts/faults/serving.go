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
	longAnswerTokens = 150 // tokens
	faultsPath       = "/emulate/faults"
	maxCrashes       = 3
	poisonPrompt     = "crash-the-engine"
	noFaults         = `{}`
	leavingGrace     = 3 * time.Second

	refusalDelay = 2 * time.Second // after the third crash
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

// checkOvercommits fails if any engine's memory was ever overcommitted.
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

// engineCrash crashes an engine that serves the model while an answer runs.
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
		return "", errors.New("the answer over the crash differs from the undisturbed one")
	}
	if err := awaitModel(ctx, d, "manual"); err != nil {
		return "", err
	}
	return "engine-1 crashed in the middle of an answer; the caller got the whole answer unchanged", nil
}

// silentConnection makes the next streams of every engine go silent after some tokens.
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
		return "", errors.New("the answer over the silence differs from the undisturbed one")
	}
	took := time.Since(begin).Round(100 * time.Millisecond)
	return fmt.Sprintf("a stream went silent after 40 tokens; the whole answer arrived in %s", took), nil
}

// poisonRequest sends a request that crashes each engine to one VM after the other.
func poisonRequest(ctx context.Context, d *deployment.Deployment) (string, error) {
	if err := setAllEngineFaults(ctx, d, `{"crash-on":"`+poisonPrompt+`"}`); err != nil {
		return "", err
	}
	n, err := countCrashes(ctx, d, func(n int) error {
		if _, err := d.Caller(n).Chat(ctx, "manual", poisonPrompt, 5, nil); err == nil {
			return errors.New("the poison request was answered as if whole")
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

// countCrashes sends 18 times through the VMs in turn and counts the crashes. The third crash has to reach the other VMs
// through the log, so that a crash within refuseWithin after it is allowed.
func countCrashes(ctx context.Context, d *deployment.Deployment, send func(entry int) error) (int, error) {
	before, err := totalCrashes(ctx, d)
	if err != nil {
		return 0, err
	}
	seen := 0
	var third time.Time
	for i := range 6 * deployment.EntryVMCount {
		if err := send(1 + i%deployment.EntryVMCount); err != nil {
			return 0, err
		}
		now, err := totalCrashes(ctx, d)
		if err != nil {
			return 0, err
		}
		n := now - before
		if n > maxCrashes && n > seen && !third.IsZero() && time.Since(third) > refusalDelay {
			return 0, errors.Newf("crash %d came %s after the third one", n, time.Since(third).Round(time.Millisecond))
		}
		if n >= maxCrashes && third.IsZero() {
			third = time.Now()
		}
		seen = n
	}
	if seen == 0 {
		return 0, errors.New("the poison request crashed no engine, so that nothing was tested")
	}
	return seen, nil
}

// innocentBesideCrashes sends a request that is in flight whenever its engine crashes, for reasons of its own.
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
			return "", errors.Wrap(err, "present at a crash")
		}
	}
	for n := 1; n <= deployment.EntryVMCount; n++ {
		if _, err := completeChat(ctx, d.Caller(n), "manual", prompt, longAnswerTokens, nil); err != nil {
			return "", errors.Wrapf(err, "entry-%d, after the crashes", n)
		}
	}
	return fmt.Sprintf("a request that was in flight at %d crashes is whole each time and still served by all VMs", rounds), nil
}

// awaitLocalEngine waits until entry-1 knows an engine of its own data centre that serves the model.
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
		return errors.Newf("no engine in the data centre of entry-1 serves %s; places are %v", model, s.Places)
	})
	return engine, err
}

// totalCrashes returns how often any engine has crashed.
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

// bookingAnswerLost cuts the service's connection after the call ran, and sends the call again through another VM.
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
			return "", errors.Newf("entry-%d answered %d %s although the outcome is unknown", n, code, body)
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
		return "", errors.Newf("the booking ran %d times", counts[key])
	}
	return "the answer was lost; three VMs said that the outcome is unknown, and the booking ran once", nil
}

// entryKilled kills the VM that holds the caller's connection.
func entryKilled(ctx context.Context, d *deployment.Deployment) (string, error) {
	a, err := d.Caller(1).Chat(ctx, "manual", "stand rules", longAnswerTokens, func(n int) {
		if n == longAnswerTokens/3 {
			d.Kill("entry-1")
		}
	})
	if a.Complete {
		return "", errors.New("a cut-off answer was shown as complete")
	}
	if err == nil && a.Tokens == longAnswerTokens {
		return "", errors.New("the answer was whole although its VM was killed")
	}
	if _, err := completeChat(ctx, d.Caller(2), "manual", "stand rules", longAnswerTokens, nil); err != nil {
		return "", err
	}
	if err := d.StartVM("entry-1"); err != nil {
		return "", err
	}
	return fmt.Sprintf("cut off after %d tokens without [DONE]; entry-2 served the same request whole", a.Tokens),
		d.AwaitReady(ctx, "entry-1")
}

// leavingServer marks the engine of a model as leaving and counts what still reaches it.
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

// findUsedEngine returns an engine of entry-1's data centre that requests for the model manual reach. With several places the
// router may send all of a few requests to one of them.
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

// acceptedRequests returns how many requests each engine has acceptedRequests.
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

// checkNoNewRequests checks that an engine receives nothing from 3 s after it began to leave, while all requests are served.
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
				return errors.Wrap(err, "while the server leaves")
			}
		}
	}
	after, err := fetchEngineStatus(ctx, d, engine)
	if err == nil && after.Accepted != before.Accepted {
		err = errors.Newf("the leaving server received %d requests", after.Accepted-before.Accepted)
	}
	return err
}

// leavingByList lets the platform's list show an engine as leaving.
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

// versionChange makes another version of a model active while answers run.
func versionChange(ctx context.Context, d *deployment.Deployment) (string, error) {
	const model = `models:
  - name: manual
    active-version: v2
    versions:
      - {name: v1, weight-bytes: 4294967296, kv-reserve-bytes: 2147483648, transient-bytes: 536870912}
      - {name: v2, weight-bytes: 4294967296, kv-reserve-bytes: 2147483648, transient-bytes: 536870912}
`
	stop, cancel := context.WithCancel(ctx)
	defer cancel()
	whole := 0
	var g errgroup.Group
	g.Go(func() error {
		for stop.Err() == nil {
			if _, err := completeChat(ctx, d.Caller(2), "manual", "during the change", 10, nil); err != nil {
				return err
			}
			whole++
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
	return fmt.Sprintf("v2 replaced v1; %d answers before, during and after were whole and none was refused", whole), nil
}

// operationsDisturbed loses an operation at each engine, delays and repeats the others, and lets reports lag, while a
// ticket changes the version of a model.
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
	return fmt.Sprintf("operations lost, late and repeated: the new version was in place after %s, no memory overcommitted", took), nil
}

// awaitVersion waits until the model is served in this version only.
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
				return errors.Newf("%s still has %s in version %s", p.Backend, model, p.Version)
			}
			found = true
		}
		if !found {
			return errors.Newf("no place of %s", model)
		}
		return nil
	})
}
