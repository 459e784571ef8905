package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxRunTime is the longest time that a case may take.
const maxRunTime = 115 * time.Second

// A play runs one case and returns how the rule was broken, empty if it held.
type play func(ctx context.Context, d *deployment, trouble bool) (broken []string, err error)

var plays = map[string]struct {
	options deploymentOptions
	run     play
}{
	"restart-manifest": {restartManifestOptions, playRestartManifest},
}

func main() {
	os.Exit(run(os.Args[1:]))
}

// run plays the case that the first argument names and writes its record to the file that the second one names.
func run(args []string) int {
	if len(args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD-FILE")
		return exitFailed
	}
	p, ok := plays[args[0]]
	if !ok {
		fmt.Fprintf(os.Stderr, "standin-2: unknown case %q\n", args[0])
		return exitFailed
	}
	broken, err := runPlay(p.options, p.run, args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin-2: the case could not run:", err)
		return exitFailed
	}
	for _, b := range broken {
		fmt.Println("broken:", b)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	fmt.Println("held")
	return exitHeld
}

func runPlay(o deploymentOptions, run play, recordFile string) (broken []string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), maxRunTime)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	rec, err := newRecord(recordFile)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, rec.close()) }()
	d, err := newDeployment(o, rec)
	if err != nil {
		return nil, err
	}
	defer d.close()
	if err := d.startAll(ctx); err != nil {
		return nil, err
	}
	broken, err = run(ctx, d, os.Getenv("TROUBLE") != "0")
	if err == nil && ctx.Err() != nil {
		err = ctx.Err()
	}
	for _, b := range broken {
		rec.addf("broken: %s", b)
	}
	return broken, err
}
