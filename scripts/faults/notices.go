package main

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/test/deployment"
	wire "github.com/geraniumdeck/geraniumdeck/internal/wire/engine"
)

const (
	requestGap = 20 * time.Millisecond // between requests, over all VMs

	enginePause = 2 * time.Second
	pausedTime  = 8 * time.Second // in which the engine refuses all requests
	maxInPause  = 2               // requests of one VM later than noticeMargin after the refusal, and before the pause is over

	engineLimit     = 3.0 // requests a second, of each engine
	requestsToLearn = 60  // of one VM, among which one reaches an engine that it uses

	limitKnown    = 4 * time.Second // until all VMs must have heard the limit
	limitedTime   = 10 * time.Second
	limitWindow   = 4 * time.Second
	limitFactor   = 1.5
	limitSlack    = 5
	limitSampling = 250 * time.Millisecond
)

// sendRequests sends a request for the model manual to the VMs in turn in each requestGap for the given time. It returns how many were
// served, and the errors of the others.
func sendRequests(ctx context.Context, d *deployment.Deployment, length time.Duration) (served int, refused []error) {
	var g errgroup.Group
	results := make(chan error, length/requestGap+1)
	for n := 0; time.Duration(n)*requestGap < length; n++ {
		c := d.Caller(1 + n%deployment.EntryVMCount)
		g.Go(func() error {
			_, err := completeChat(ctx, c, "manual", "notices", 3, nil)
			results <- err
			return nil
		})
		deck.Sleep(ctx, requestGap)
	}
	_ = g.Wait() // the requests return no errors
	close(results)
	for err := range results {
		if err == nil {
			served++
		} else {
			refused = append(refused, err)
		}
	}
	return served, refused
}

// awaitOtherEngine waits until two engines hold the model manual and all entry VMs know that, and returns the number of one that
// requests reach.
func awaitOtherEngine(ctx context.Context, d *deployment.Deployment) (engine int, err error) {
	err = deployment.Eventually(ctx, func() error {
		for vm := 1; vm <= deployment.EntryVMCount; vm++ {
			n, err := countServing(ctx, d, vm)
			if err != nil {
				return err
			}
			if n < 2 {
				return errors.Newf("%d engines serve the model", n)
			}
		}
		return nil
	})
	if err != nil {
		return 0, err
	}
	return findUsedEngine(ctx, d)
}

// countServing returns the number of engines that hold the model manual and that the entry VM knows to hold it.
func countServing(ctx context.Context, d *deployment.Deployment, vm int) (n int, err error) {
	s, err := d.State(ctx, fmt.Sprintf("entry-%d", vm))
	if err != nil {
		return 0, err
	}
	for i := 1; i <= deployment.EngineCount; i++ {
		if !s.HasReadyModel("manual", fmt.Sprintf("engine-%d", i)) {
			continue
		}
		body, err := deployment.Get(ctx, d.Address(deployment.ExampleEngineAddress(i)), wire.PathReport)
		if err != nil {
			return 0, err
		}
		var r wire.Report
		if err := json.Unmarshal([]byte(body), &r); err != nil {
			return 0, errors.Wrapf(err, "report of engine-%d", i)
		}
		if slices.ContainsFunc(r.Models, func(m wire.ResidentModel) bool { return m.Model == "manual" && m.Ready }) {
			n++
		}
	}
	return n, nil
}

// leavingByAnswer lets an engine say in its answers that it leaves, while the platform's list shows it as ready; once it has told each VM, the
// same must hold as in leavingServer.
func leavingByAnswer(ctx context.Context, d *deployment.Deployment) (string, error) {
	engine, err := awaitOtherEngine(ctx, d)
	if err != nil {
		return "", err
	}
	if err := setEngineFaults(ctx, d, engine, `{"leaving":true}`); err != nil {
		return "", err
	}
	_, refused := sendRequests(ctx, d, time.Second)
	told := awaitAllTold(ctx, d, engine)
	if err := errors.Join(told, setEngineFaults(ctx, d, engine, noFaults)); err != nil {
		return "", err
	}
	if len(refused) > 0 {
		return "", errors.Wrapf(refused[0], "%d requests were refused although other engines hold the model", len(refused))
	}
	if err := checkNoNewRequests(ctx, d, engine); err != nil {
		return "", err
	}
	if err := setEngineFaults(ctx, d, engine, `{"crash":true}`); err != nil { // the next process does not leave
		return "", err
	}
	return fmt.Sprintf("engine-%d said that it leaves: 60 requests after 3 s went elsewhere, though it said so no more", engine),
		awaitModel(ctx, d, "manual")
}

// awaitAllTold sends requests until each VM has had an answer of the engine or sends it none: one that was told sends none either.
func awaitAllTold(ctx context.Context, d *deployment.Deployment, engine int) error {
	for vm := 1; vm <= deployment.EntryVMCount; vm++ {
		for quiet := 0; quiet < requestsToLearn; quiet++ {
			before, err := fetchEngineStatus(ctx, d, engine)
			if err != nil {
				return err
			}
			if _, err := completeChat(ctx, d.Caller(vm), "manual", fmt.Sprintf("notice %d", quiet), 3, nil); err != nil {
				return errors.Wrap(err, "request while an engine leaves")
			}
			after, err := fetchEngineStatus(ctx, d, engine)
			if err != nil {
				return err
			}
			if after.Accepted > before.Accepted {
				break
			}
		}
	}
	return nil
}

// enginePauses lets an engine refuse all requests and ask for pauses: few may reach it in them, and none may be refused.
func enginePauses(ctx context.Context, d *deployment.Deployment) (string, error) {
	engine, err := awaitOtherEngine(ctx, d)
	if err != nil {
		return "", err
	}
	before, err := fetchEngineStatus(ctx, d, engine)
	if err != nil {
		return "", err
	}
	if err := setEngineFaults(ctx, d, engine, fmt.Sprintf(`{"pause-ms":%d}`, enginePause.Milliseconds())); err != nil {
		return "", err
	}
	_, refused := sendRequests(ctx, d, pausedTime)
	after, err := fetchEngineStatus(ctx, d, engine)
	if err = errors.Join(err, setEngineFaults(ctx, d, engine, noFaults)); err != nil {
		return "", err
	}
	const allowed = deployment.EntryVMCount * int(pausedTime/enginePause) * (1 + maxInPause)
	n := after.Refused - before.Refused
	switch {
	case n == 0:
		return "", errors.New("the engine got no requests")
	case n > allowed:
		return "", errors.Newf("the engine got %d requests in %s, %d allowed", n, pausedTime, allowed)
	case len(refused) > 0:
		return "", errors.Wrapf(refused[0], "%d requests were refused although other engines hold the model", len(refused))
	}
	return fmt.Sprintf("engine-%d asked for pauses of %s and got %d requests in %s", engine, enginePause, n, pausedTime), nil
}

// namedLimit lets all engines name a limit: none may get more than that over all VMs, and what they take must be served. Once they name none
// any more, no request may be refused for long.
func namedLimit(ctx context.Context, d *deployment.Deployment) (string, error) {
	if err := setAllEngineFaults(ctx, d, fmt.Sprintf(`{"limit":%v}`, engineLimit)); err != nil {
		return "", err
	}
	sendRequests(ctx, d, limitKnown)
	done := make(chan struct{})
	var g errgroup.Group
	var served int
	var refused []error
	g.Go(func() error {
		defer close(done)
		served, refused = sendRequests(ctx, d, limitedTime)
		return nil
	})
	most, err := mostAccepted(ctx, d, done)
	if err = errors.Join(err, g.Wait(), setAllEngineFaults(ctx, d, noFaults)); err != nil {
		return "", err
	}
	if allowed := limitFactor*limitWindow.Seconds()*engineLimit + limitSlack; float64(most) > allowed {
		return "", errors.Newf("an engine got %d requests in %s, %.0f allowed", most, limitWindow, allowed)
	}
	if float64(served) < engineLimit*limitedTime.Seconds()/2 {
		return "", errors.Newf("%d requests were served and %d refused in %s", served, len(refused), limitedTime)
	}
	return fmt.Sprintf("all engines named a limit of %v a second: %d requests in %s at most at one of them, %d served, %d refused",
		engineLimit, most, limitWindow, served, len(refused)), errors.Join(awaitNoLimit(ctx, d), awaitModel(ctx, d, "manual"))
}

// awaitNoLimit waits until all VMs have heard that the engines name no limit any more: a VM hears it from an answer, and it has few requests
// answered until then.
func awaitNoLimit(ctx context.Context, d *deployment.Deployment) error {
	var refused []error
	for start := time.Now(); time.Since(start) < limitKnown; {
		if _, refused = sendRequests(ctx, d, limitSampling); len(refused) == 0 {
			return nil
		}
	}
	return errors.Wrapf(refused[0], "%d requests were refused %s after the engines had named a limit for the last time", len(refused), limitKnown)
}

// mostAccepted returns the most requests that an engine accepts in any limitWindow until done is closed.
func mostAccepted(ctx context.Context, d *deployment.Deployment, done <-chan struct{}) (int, error) {
	const samples = int(limitWindow / limitSampling)
	var counts [][]int // the last samples, oldest first
	most := 0
	for {
		accepted, err := acceptedRequests(ctx, d)
		if err != nil {
			return most, err
		}
		counts = append(counts, accepted)
		if len(counts) > samples {
			counts = counts[1:]
		}
		for i, n := range accepted {
			most = max(most, n-counts[0][i])
		}
		select {
		case <-done:
			return most, nil
		case <-time.After(limitSampling):
		}
	}
}
