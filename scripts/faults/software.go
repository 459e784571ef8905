package main

import (
	"context"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/test/deployment"
)

const (
	softwareStreams = 12                     // at once, over all VMs
	crashAfter      = 700 * time.Millisecond // after the start of the streams, about the middle of their answers
	callersPatience = 6 * time.Second        // in the round after which no engine of the version is left
)

// enginesByDataCentre are the engines of the example. Each data centre gets a software version of its own, since placement may load a
// model on any engine of a data centre again.
var enginesByDataCentre = [][]int{{1, 2}, {3}, {4}}

var manualIsReady = regexp.MustCompile(`"model":"manual","version":"[^"]*","ready":true`)

// softwareOfStreams serves streams at engines of several software versions. No stream may hold tokens of two when its engine crashes,
// neither while one of its version serves nor afterwards, and at least half of the streams must go on while one does.
func softwareOfStreams(ctx context.Context, d *deployment.Deployment) (string, error) {
	for i, engines := range enginesByDataCentre[1:] {
		if err := crashEngines(ctx, d, engines, fmt.Sprintf(`{"crash":true,"software-version":"v%d"}`, 2+i)); err != nil {
			return "", err
		}
	}
	homes, err := awaitHomes(ctx, d)
	if err != nil {
		return "", err
	}
	whole, err := streamThroughCrash(ctx, d, homes[0], `{"crash":true}`)
	if err != nil {
		return "", err
	}
	if whole < softwareStreams/2 {
		return "", errors.Newf("%d of %d streams went on", whole, softwareStreams)
	}
	if homes, err = awaitHomes(ctx, d); err != nil {
		return "", err
	}
	lastCtx, cancel := context.WithTimeout(ctx, callersPatience)
	defer cancel()
	if _, err := streamThroughCrash(lastCtx, d, homes[0], `{"crash":true,"software-version":"v9"}`); err != nil {
		return "", err
	}
	return fmt.Sprintf("engines crashed beside those of another software version: %d of %d streams were whole, none held tokens of two",
		whole, softwareStreams), setAllEngineFaults(ctx, d, noFaults)
}

func crashEngines(ctx context.Context, d *deployment.Deployment, engines []int, faults string) (err error) {
	for _, n := range engines {
		err = errors.Join(err, setEngineFaults(ctx, d, n, faults))
	}
	return err
}

// streamThroughCrash starts streams at all VMs, crashes the engines by the given faults, and returns how many streams were whole.
func streamThroughCrash(ctx context.Context, d *deployment.Deployment, engines []int, faults string) (whole int, err error) {
	var g errgroup.Group
	answers := make(chan deployment.ChatResponse, softwareStreams)
	for n := range softwareStreams {
		c, prompt := d.Caller(1+n%deployment.EntryVMCount), fmt.Sprintf("stream %d of %s", n, faults)
		g.Go(func() error {
			answer, _ := completeChat(ctx, c, "manual", prompt, longAnswerTokens, nil) // may be cut off
			answers <- answer
			return nil
		})
	}
	deck.Sleep(ctx, crashAfter)
	err = crashEngines(ctx, d, engines, faults)
	err = errors.Join(err, g.Wait())
	close(answers)
	for a := range answers {
		versions := make(map[string]bool)
		for _, token := range strings.Fields(a.Text) {
			_, version, _ := strings.Cut(token, "@")
			versions[version] = true
		}
		if len(versions) > 1 {
			err = errors.Join(err, errors.Newf("a stream holds tokens of software %v: %.80q...", versions, a.Text))
		}
		if a.Complete && a.Tokens == longAnswerTokens {
			whole++
		}
	}
	return whole, err
}

// awaitHomes waits until two data centres serve the model manual, and returns the engines of each.
func awaitHomes(ctx context.Context, d *deployment.Deployment) (homes [][]int, err error) {
	err = deployment.Eventually(ctx, func() error {
		state, err := d.State(ctx, "entry-1")
		if err != nil {
			return err
		}
		homes = nil
		for _, engines := range enginesByDataCentre {
			if slices.ContainsFunc(engines, func(n int) bool { return servesManual(ctx, d, state, n) }) {
				homes = append(homes, engines)
			}
		}
		if len(homes) < 2 {
			return errors.Newf("engines %v serve the model, expected two data centres", homes)
		}
		return nil
	})
	return homes, err
}

// servesManual reports whether the engine serves the model manual, by its own report and by a VM's state.
func servesManual(ctx context.Context, d *deployment.Deployment, state deployment.State, engine int) bool {
	report, err := deployment.Get(ctx, d.Address(deployment.ExampleEngineAddress(engine)), "/engine/report")
	return err == nil && manualIsReady.MatchString(report) && state.HasReadyModel("manual", fmt.Sprintf("engine-%d", engine))
}
