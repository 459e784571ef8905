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

// Exit statuses of a case.
const (
	statusHeld   = 0
	statusBroken = 1
	statusUnable = 2
)

// maxRunTime ends a case that hangs.
const maxRunTime = 115 * time.Second

// errBroken is returned by a case that has seen the rule broken.
var errBroken = errors.New("the rule was broken")

// A reviewCase plays one case in a deployment; trouble says whether its disruption is brought about.
type reviewCase func(ctx context.Context, d *deployment, trouble bool) error

var cases = map[string]reviewCase{
	"unrelated-crashes": playUnrelatedCrashes,
	"other-host":        playOtherHost,
	"first-start":       playFirstStart,
	"new-version":       playNewVersion,
	"retired-model":     playRetiredModel,
}

func main() {
	if len(os.Args) >= 2 && os.Args[1] == "engine" {
		fmt.Fprintln(os.Stderr, engineMain(os.Args[2:]))
		os.Exit(statusUnable)
	}
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE BINARY RECORD, or standin-3 engine FLAGS")
		os.Exit(statusUnable)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

// play plays a case, writes its record and returns the exit status.
func play(name, binary, recordFile string) int {
	run, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no case", name)
		return statusUnable
	}
	file, err := os.Create(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusUnable
	}
	defer file.Close()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxRunTime)
	defer cancel()
	trouble := os.Getenv("TROUBLE") != "0"
	rec := &record{start: time.Now(), file: file}
	rec.printf("case %s, trouble %t", name, trouble)
	d, err := newDeployment(binary, rec)
	if err == nil {
		err = run(ctx, d, trouble)
		d.close()
	}
	switch {
	case errors.Is(err, errBroken):
		rec.printf("result: %v", err)
		fmt.Println(err)
		return statusBroken
	case err != nil:
		rec.printf("could not run: %v", err)
		fmt.Println("could not run:", err)
		return statusUnable
	default:
		rec.printf("result: the rule held")
		fmt.Println("the rule held")
		return statusHeld
	}
}
