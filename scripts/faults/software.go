package main

import (
	"context"
	"fmt"
	"regexp"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/test/deployment"
)

const (
	softwareStreams  = 12                     // at once, over all VMs
	crashAfter       = 700 * time.Millisecond // after the start of the streams, about the middle of their answers
	callersPatience  = 6 * time.Second        // in the round after which no engine of the version is left
	softwareVersions = 2                      // among the engines
)

var manualIsReady = regexp.MustCompile(`"model":"manual","version":"[^"]*","ready":true`)

// softwareOfStreams serves streams at engines of two software versions. No stream may hold tokens of both when their engines crash,
// neither while one of its version serves nor afterwards, and at least half of the streams must go on while one does.
func softwareOfStreams(ctx context.Context, d *deployment.Deployment) (string, error) {
	var engines []int
	err := deployment.Eventually(ctx, func() (err error) {
		if engines, err = holders(ctx, d); err == nil && len(engines) < softwareVersions {
			err = errors.Newf("engines %v serve the model, expected at least %d", engines, softwareVersions)
		}
		return err
	})
	if err != nil {
		return "", err
	}
	for _, n := range engines[1:] {
		err = errors.Join(err, setEngineFaults(ctx, d, n, `{"crash":true,"software-version":"v2"}`))
	}
	if err = errors.Join(err, awaitHolders(ctx, d, engines)); err != nil {
		return "", err
	}
	whole, err := streamThroughCrash(ctx, d, engines[0], `{"crash":true}`)
	if err = errors.Join(err, awaitHolders(ctx, d, engines)); err != nil {
		return "", err
	}
	if whole < softwareStreams/2 {
		return "", errors.Newf("%d of %d streams went on", whole, softwareStreams)
	}
	lastCtx, cancel := context.WithTimeout(ctx, callersPatience)
	defer cancel()
	if _, err := streamThroughCrash(lastCtx, d, engines[0], `{"crash":true,"software-version":"v3"}`); err != nil {
		return "", err
	}
	return fmt.Sprintf("an engine crashed beside one of another software version: %d of %d streams were whole, none held tokens of both",
		whole, softwareStreams), setAllEngineFaults(ctx, d, noFaults)
}

// streamThroughCrash starts streams at all VMs, crashes the engine by the given faults, and returns how many streams were whole.
func streamThroughCrash(ctx context.Context, d *deployment.Deployment, engine int, faults string) (whole int, err error) {
	var g errgroup.Group
	answers := make(chan deployment.ChatResponse, softwareStreams)
	for n := range softwareStreams {
		c, prompt := d.Caller(1+n%deployment.EntryVMCount), fmt.Sprintf("stream %d of %s at engine %d", n, faults, engine)
		g.Go(func() error {
			answer, _ := completeChat(ctx, c, "manual", prompt, longAnswerTokens, nil) // may be cut off
			answers <- answer
			return nil
		})
	}
	deck.Sleep(ctx, crashAfter)
	err = setEngineFaults(ctx, d, engine, faults)
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

// holders returns the numbers of the engines that entry-1 knows to serve the model manual.
func holders(ctx context.Context, d *deployment.Deployment) (engines []int, err error) {
	s, err := d.State(ctx, "entry-1")
	for n := 1; n <= deployment.EngineCount; n++ {
		if s.HasReadyModel("manual", fmt.Sprintf("engine-%d", n)) {
			engines = append(engines, n)
		}
	}
	return engines, err
}

// awaitHolders waits until all given engines serve the model manual again.
func awaitHolders(ctx context.Context, d *deployment.Deployment, engines []int) error {
	return deployment.Eventually(ctx, func() error {
		for _, n := range engines {
			body, err := deployment.Get(ctx, d.Address(deployment.ExampleEngineAddress(n)), "/engine/report")
			if err != nil {
				return err
			}
			if !manualIsReady.MatchString(body) {
				return errors.Newf("engine-%d does not serve the model", n)
			}
		}
		now, err := holders(ctx, d)
		if err == nil && len(now) < len(engines) {
			err = errors.Newf("engines %v of %v serve the model", now, engines)
		}
		return err
	})
}
